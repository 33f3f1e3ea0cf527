// Package lease lets one process at a time hold a duty, such as placement. Holder is a
// state machine over a platform object: it takes a monotonic clock and the outcomes of
// platform calls and returns the next call. Adapter drives it over a platform.Store.
// Fence runs on the same VM as the engine and refuses commands of earlier holders.
//
// A lease alone does not keep two holders from acting: a holder may be paused between
// its check and its command. Every command therefore carries the fencing number, and the
// Fence refuses numbers lower than the highest one seen. Validity is measured on the
// process's own monotonic clock only, so that wrong wall clocks do not matter.
//
// # Driving loop
//
//	holder := lease.NewHolder("placement", lease.Identity{VM: vm, Counter: c, ID: id}, 10*time.Second, clock(), rng)
//	announcer := lease.NewAnnouncer()
//	adapter := lease.Adapter{Store: store, Clock: clock}
//	for ctx.Err() == nil {
//		if err := adapter.Step(ctx, holder); err != nil {
//			// Log the platform's error; the holder has scheduled a retry.
//		}
//		if fencing, ok := holder.Valid(clock()); ok {
//			for _, vm := range announcer.Pending(fencing, liveEndpoints) {
//				// Send the number to vm; call announcer.MarkAcknowledged when it accepts.
//			}
//			// When none is pending, issue commands that carry the duty and the fencing
//			// number. Check Valid again before each one.
//		}
//		// Wait until holder.Next().
//	}
//	_ = adapter.Release(context.WithoutCancel(ctx), holder) // graceful shutdown
//
// At the endpoint process:
//
//	if err := fence.Check("placement", command.Fencing); err != nil {
//		return err // errkind.Stale
//	}
package lease
