package soak

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// sleepProcess returns a process of a fleet whose program only sleeps.
func sleepProcess(t *testing.T) *Process {
	t.Helper()
	program, err := exec.LookPath("sleep")
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	f := &Fleet{Options: Options{Binary: program}}
	p := &Process{Name: "front-0", fleet: f, role: "600", log: log}
	f.Entries = []*Process{p}
	return p
}

// ended reports whether an instance exits within a second.
func ended(i *Instance) bool {
	select {
	case <-i.exited:
		return true
	case <-time.After(time.Second):
		return false
	}
}

// pid returns the process id of the instance started last, or 0.
func pid(p *Process) int {
	if i := p.Running(); i != nil {
		return i.command.Process.Pid
	}
	return 0
}

// Guards against processes that outlive their run, when the timer of a fault fires after
// the fleet has stopped or while the process already runs again.
func TestNoProcessOutlivesItsFleet(t *testing.T) {
	Convey("Given a fleet with one process", t, func() {
		p := sleepProcess(t)
		So(p.Start(), ShouldBeNil)
		first := p.Running()
		Reset(first.Kill)

		Convey("a start after the stop starts no process", func() {
			So(p.fleet.Stop(), ShouldBeNil)
			So(ended(first), ShouldBeTrue)
			err := p.Start()
			late := p.Running()
			if late != first {
				late.Kill()
			}
			So(errors.Is(err, ErrStopped), ShouldBeTrue)
			So(late == first, ShouldBeTrue)
		})
		Convey("a second start keeps the running process", func() {
			err := p.Start()
			So(errors.Is(err, ErrRunning), ShouldBeTrue)
			So(p.Running() == first, ShouldBeTrue)
			So(p.fleet.Stop(), ShouldBeNil)
			So(ended(first), ShouldBeTrue)
		})
		Convey("starts concurrent with a stop leave no process running", func() {
			p.Kill()
			var (
				started []*Instance
				mu      sync.Mutex
				group   sync.WaitGroup
			)
			for range 8 {
				group.Go(func() {
					if p.Start() == nil {
						mu.Lock()
						started = append(started, p.Running())
						mu.Unlock()
					}
				})
			}
			So(p.fleet.Stop(), ShouldBeNil)
			group.Wait()
			So(len(started), ShouldBeLessThanOrEqualTo, 1)
			for _, instance := range started {
				So(ended(instance), ShouldBeTrue)
			}
		})
	})
}

// Guards against a planned restart that kills an instance other than the one that it asked
// to stop. Such a kill is not recorded as a fault, so its effects count as violations.
func TestPlannedRestartLeavesALaterProcessAlone(t *testing.T) {
	Convey("Given a planned restart whose process is killed and started again meanwhile", t, func() {
		p := sleepProcess(t)
		So(p.Start(), ShouldBeNil)
		Reset(func() { _ = p.fleet.Stop() })
		r := &run{fleet: p.fleet}
		asked := p.Running()
		p.Kill()
		So(p.Start(), ShouldBeNil)
		later := pid(p)

		Convey("the end of the grace period changes nothing", func() {
			r.replace(p, asked)
			So(pid(p), ShouldEqual, later)
			So(syscall.Kill(later, 0), ShouldBeNil)
		})
	})
	Convey("Given a planned restart whose process ignores the request to stop", t, func() {
		p := sleepProcess(t)
		So(p.Start(), ShouldBeNil)
		Reset(func() { _ = p.fleet.Stop() })
		r := &run{fleet: p.fleet}
		first := p.Running()

		Convey("the end of the grace period kills it and starts another", func() {
			r.replace(p, p.Running())
			So(ended(first), ShouldBeTrue)
			So(p.Running() == first, ShouldBeFalse)
		})
	})
}
