package journal

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"
	. "github.com/smartystreets/goconvey/convey"
)

// keyState is the sequential specification of one key: one holder of a grant at a
// time, one run, and one response.
type keyState struct {
	holder   uint64
	ran      bool
	response string
}

type keyOp struct {
	key      string
	kind     string
	waiter   uint64
	response string
}

var keySpec = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(keyOp).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, op := state.(keyState), input.(keyOp)
		next := s
		switch op.kind {
		case "granted":
			next.holder = op.waiter
			return s.holder == 0 && !s.ran, next
		case "not started":
			next.holder = 0
			return s.holder == op.waiter && !s.ran, next
		case "run":
			next.ran = true
			return s.holder == op.waiter && !s.ran, next
		case "complete":
			next.response = op.response
			return s.holder == op.waiter && s.ran && s.response == "", next
		default:
			return s.response != "" && s.response == op.response, next
		}
	},
}

// Guards against grants that overlap although neither runs, and against a replay that
// precedes its response: the history of each key must be linearizable.
func TestLinearizable(t *testing.T) {
	Convey("Grants, runs, responses and replays of each key are linearizable", t, func() {
		checked := 0
		for seed := range uint64(histories / 5) {
			sim := history(1_000_000 + seed)
			checked += len(sim.operations)
			if !porcupine.CheckOperations(keySpec, sim.operations) {
				Printf("seed %d: %v", 1_000_000+seed, sim.operations)
				So(fmt.Sprint("seed ", 1_000_000+seed), ShouldEqual, "linearizable")
			}
		}
		fmt.Printf("\n%d operations in %d histories are linearizable\n", checked, histories/5)
		So(checked, ShouldBeGreaterThan, histories)
	})
}
