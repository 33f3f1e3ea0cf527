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

// sleeper returns a process of a fleet that runs a program without network.
func sleeper(t *testing.T) *Process {
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

// ended reports whether an instance is gone within a second.
func ended(i *Instance) bool {
	select {
	case <-i.exited:
		return true
	case <-time.After(time.Second):
		return false
	}
}

// pid returns the process id of what runs, or 0.
func pid(p *Process) int {
	if i := p.Running(); i != nil {
		return i.command.Process.Pid
	}
	return 0
}

// Guards against processes that outlive their run: a fault's timer fires after the fleet
// has stopped, or while the process runs again already.
func TestNoProcessOutlivesItsFleet(t *testing.T) {
	Convey("Given a fleet with one process", t, func() {
		p := sleeper(t)
		So(p.Start(), ShouldBeNil)
		first := p.Running()
		Reset(first.Kill)

		Convey("a start after the stop starts nothing", func() {
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
		Convey("a second start keeps the process that runs", func() {
			err := p.Start()
			So(errors.Is(err, ErrRunning), ShouldBeTrue)
			So(p.Running() == first, ShouldBeTrue)
			So(p.fleet.Stop(), ShouldBeNil)
			So(ended(first), ShouldBeTrue)
		})
		Convey("starts that meet a stop leave nothing behind", func() {
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

// Guards against a planned restart that ends a process other than the one it has asked
// to stop: such an end has no entry among the faults, so it is taken for a broken promise.
func TestPlannedRestartLeavesALaterProcessAlone(t *testing.T) {
	Convey("Given a planned restart whose process is killed and started again meanwhile", t, func() {
		p := sleeper(t)
		So(p.Start(), ShouldBeNil)
		Reset(func() { _ = p.fleet.Stop() })
		r := &run{fleet: p.fleet}
		asked := p.Running()
		p.Kill()
		So(p.Start(), ShouldBeNil)
		later := pid(p)

		Convey("the end of its grace changes nothing", func() {
			r.replace(p, asked)
			So(pid(p), ShouldEqual, later)
			So(syscall.Kill(later, 0), ShouldBeNil)
		})
	})
	Convey("Given a planned restart whose process ignores the request to stop", t, func() {
		p := sleeper(t)
		So(p.Start(), ShouldBeNil)
		Reset(func() { _ = p.fleet.Stop() })
		r := &run{fleet: p.fleet}
		first := p.Running()

		Convey("the end of its grace ends it and starts another", func() {
			r.replace(p, p.Running())
			So(ended(first), ShouldBeTrue)
			So(p.Running() == first, ShouldBeFalse)
		})
	})
}
