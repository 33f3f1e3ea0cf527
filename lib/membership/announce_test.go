package membership

import (
	"fmt"
	"testing"

	pb "laburnumgw/api/laburnumgw/v1"
)

// Guards against a new entry that is listed twice in one message, which takes two of its announcements, so that half as
// many messages announce it.
func TestNewEntryIsListedOnceInAMessage(t *testing.T) {
	e := testEntry()
	gossip := func(vm, zone string) []*pb.EntryInfo {
		from := &pb.EntryInfo{Vm: vm, Zone: zone, Address: vm + ":1", Heartbeat: 1, Incarnation: &pb.Incarnation{Counter: 1, Id: 7}}
		return e.Gossip(JoinSpread, &pb.GossipRequest{From: from}).GetEntries()
	}
	for i := range 12 {
		gossip(fmt.Sprint("known-", i), "a")
	}
	for i := range 40 {
		gossip(fmt.Sprint("known-", i%12), "a")
	}
	gossip("new", "a")
	announced := 0
	for i := range 8 {
		listed := make(map[string]int)
		for _, item := range gossip(fmt.Sprint("known-", i), "a") {
			if item.GetZone() != "" {
				listed[item.GetVm()]++
			}
		}
		for vm, times := range listed {
			if times > 1 {
				t.Errorf("message %d lists %s %d times", i, vm, times)
			}
		}
		if listed["new"] > 0 {
			announced++
		}
	}
	if announced < zoneAnnouncements {
		t.Errorf("%d messages announce the new entry, want %d", announced, zoneAnnouncements)
	}
}
