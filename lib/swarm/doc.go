// Package swarm decides how the VMs of a fleet distribute one model version among
// themselves: which chunk a VM fetches next and from which peer, which peers it serves, and
// which VM fetches a chunk from the weight store or over an inter-region link.
//
// Terms: a region's source is the weight store in the home region, and elsewhere the VMs of
// the home region or of another region that passes the chunk on. The fetchers of a chunk are the VMs of a region that may fetch it from the
// source, by rank: rank 0 fetches first, and each next rank takes over when those before it
// fail. A region's gateway for a chunk is its fetcher of rank 0. A chunk time is
// Config.ChunkTime; most timeouts are multiples of it.
//
// A Machine is the state machine of one VM for one version. It performs no I/O,
// starts no goroutines and reads no clock. An adapter drives it from one goroutine:
//
//	machine, err := swarm.New(config, rng, now())
//	...
//	ticker := time.NewTicker(machine.TickInterval())
//	for {
//		var event swarm.Event = swarm.Tick{}
//		select {
//		case <-ticker.C:
//		case event = <-events: // from membership, RPC handlers and finished fetches
//		}
//		for _, action := range machine.Step(now(), event) {
//			switch a := action.(type) {
//			case swarm.FetchChunk:
//				// Start GetChunk to a.From, or the weight store's client when
//				// a.From is swarm.Origin. Pass the bytes to Replica.Put and send
//				// ChunkDone with ResultOK, or with ResultCorrupt when Put fails
//				// with errkind.Corrupt.
//			case swarm.CancelFetch:
//				// Cancel the context of that fetch.
//			case swarm.SendBitmap:
//				// Call Exchange; send BitmapReceived with the response, or
//				// BitmapFailed.
//			case swarm.AcceptUpload:
//				// Let the GetChunk handler send Replica.Chunk, then send
//				// UploadFinished.
//			case swarm.RefuseUpload:
//				// End that handler with ResourceExhausted when a.ChunkHeld, else NotFound.
//			case swarm.Completed:
//				// Replica.Open succeeds from here on.
//			case swarm.OriginFailed, swarm.OriginRecovered:
//				// Count and log them.
//			}
//		}
//	}
//
// An adapter that fetches several versions of a model at once sends SourceTurn to their Machines,
// so that they take turns on the links.
//
// A VM that receives or serves several versions drives a Coordinator in the same way.
// It withdraws an older version when a newer one of the same model starts, and shares
// the VM's slots between models.
//
// The handler of Exchange sends BitmapReceived and responds with Machine.HeldChunks. The
// clock is any monotonic duration with the same origin for all calls.
package swarm
