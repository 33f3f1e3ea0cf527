package hosted

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a soak of stagings in which a kind of fault never occurs, or that differs between two runs of a seed.
func TestSeededStagingFaults(t *testing.T) {
	shares := StagingFaults{Spoilt: 0.1, Late: 0.1, Lost: 0.1, Repeated: 0.1, Endless: 0.1, Silent: 0.1, MaxLate: time.Second, MaxSilence: time.Second, OrderFactor: 3}
	first, second, other := shares.Seeded(1), shares.Seeded(1), shares.Seeded(2)
	seen := make(map[CallKind]map[string]int)
	differs := false
	for n := range 4000 {
		c := Call{Kind: CallKind(n % 5), Piece: n, Version: 2}
		fault := first(c)
		if fmt.Sprint(fault) != fmt.Sprint(second(c)) {
			t.Fatalf("call %d differs between two runs of a seed", n)
		}
		differs = differs || fmt.Sprint(fault) != fmt.Sprint(other(c))
		if seen[c.Kind] == nil {
			seen[c.Kind] = make(map[string]int)
		}
		for kind, is := range map[string]bool{
			"spoilt": fault.SpoiltAfter > 0, "late": fault.Late > 0, "lost": fault.Lost, "silent": fault.Silent > 0,
			"repeated": fault.Repeat == RepeatAtOnce, "repeated later": fault.Repeat == RepeatAtNextCall,
			"endless head": fault.Endless == EndlessInHead, "endless body": fault.Endless == EndlessInBody,
		} {
			if is && fault.Empty() {
				t.Fatalf("no fault: %+v", fault)
			}
			if is {
				seen[c.Kind][kind]++
			}
		}
	}
	if !differs {
		t.Error("all seeds draw the same")
	}
	for kind, want := range map[CallKind]int{CallRequest: 0, CallReport: 6, CallOrder: 7, CallStage: 8, CallStaged: 6} {
		if len(seen[kind]) != want {
			t.Errorf("calls of kind %d have faults %v, want %d", kind, seen[kind], want)
		}
	}
	if seen[CallOrder]["lost"] < 2*seen[CallReport]["lost"] {
		t.Errorf("%d lost orders and %d lost reports", seen[CallOrder]["lost"], seen[CallReport]["lost"])
	}
	if fault := (StagingFaults{}).Seeded(1)(Call{Kind: CallStage}); !fault.Empty() {
		t.Errorf("fault %+v", fault)
	}
}
