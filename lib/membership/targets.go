package membership

import (
	"slices"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/rendezvous"
)

const (
	// zoneTargets is the largest number of entries of its own zone that an endpoint
	// reports to. The design allows 24, but with 340 entries and 750 endpoints the busiest
	// entries then have to refuse endpoints, which costs more traffic than the bound allows.
	zoneTargets = 20
	// remoteTargets is the largest number of entries of each other zone that it reports to.
	remoteTargets = 2
	// allTargets is the number of entries up to which an endpoint reports to all entries.
	// Each entry then knows every endpoint, which the placement of models relies on.
	allTargets = 16
)

// targets returns the VMs of the entries that an endpoint reports to: those of its own
// zone and of each other zone that rank highest by rendezvous hash of the endpoint's VM.
// entries lists the VMs of the entries of each zone.
func targets(vm, zone string, entries map[string][]string) []string {
	zones := make([]string, 0, len(entries))
	for name := range entries {
		zones = append(zones, name)
	}
	slices.Sort(zones)
	remote := remoteTargets
	if total := countEntries(entries); total <= allTargets {
		remote = total
	}
	chosen := rendezvous.Top(vm, entries[zone], zoneTargets)
	for _, name := range zones {
		if name != zone {
			chosen = append(chosen, rendezvous.Top(vm, entries[name], remote)...)
		}
	}
	return chosen
}

func countEntries(entries map[string][]string) int {
	total := 0
	for _, members := range entries {
		total += len(members)
	}
	return total
}

// firstList returns the entries that an endpoint process that has just joined has to
// report to, as far as this entry knows them.
func (e *Entry) firstList(record *endpointRecord) []*pb.EntryInfo {
	zones := map[string][]string{e.self.Zone: {e.self.VM}}
	for _, record := range e.entryOrder {
		if view := &record.view; view.State == Alive && !view.Leaving {
			zones[view.Zone] = append(zones[view.Zone], view.VM)
		}
	}
	chosen := targets(record.view.VM, record.view.Zone, zones)
	var infos []*pb.EntryInfo
	for _, vm := range chosen[:min(len(chosen), maxListedFirst)] {
		if vm == e.self.VM {
			infos = append(infos, e.selfInfo())
		} else {
			infos = append(infos, entryInfo(e.entries[vm], true))
		}
	}
	return infos
}
