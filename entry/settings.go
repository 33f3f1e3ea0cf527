package entry

import (
	"time"

	"laburnumgw/lib/settings"
	"laburnumgw/lib/timelimit"
)

// Settings configure an entry process.
type Settings struct {
	settings.Process
	HTTPListen      string        `long:"http-listen" env:"LABURNUMGW_HTTP_LISTEN" description:"IP:port for callers"`
	LeaveWait       time.Duration `long:"leave-wait" env:"LABURNUMGW_LEAVE_WAIT" default:"3s" description:"time in which a stopping entry still takes requests, so that the balancer can notice"`
	StopTimeout     time.Duration `long:"stop-timeout" env:"LABURNUMGW_STOP_TIMEOUT" default:"10m" description:"longest time that a stopping entry waits for running requests"`
	MemoryMB        int64         `long:"memory-mb" env:"LABURNUMGW_MEMORY_MB" default:"1024" description:"memory limit of the process in MB, of which requests and responses take 0.45 at most"`
	RecentDecisions int           `long:"recent-decisions" env:"LABURNUMGW_RECENT_DECISIONS" default:"10000" description:"routing decisions kept for laburnumctl explain"`
	DetailEvery     int           `long:"detail-every" env:"LABURNUMGW_DETAIL_EVERY" default:"100" description:"log the candidates of every n-th routing decision"`
}

// minMemoryMB leaves room for the largest response, and maxMemoryMB is 1 TB.
const (
	minMemoryMB = 64
	maxMemoryMB = 1 << 20
)

// maxRecentDecisions keeps the memory for recent decisions at a few tens of megabytes.
const maxRecentDecisions = 100_000

// answerReserve is the part of StopTimeout in which the responses of requests that still run are
// written. It takes a sixth of it at most.
const (
	answerReserve    = 500 * time.Millisecond
	maxAnswerReserve = 6
)

// stopSchedule returns the times of a planned stop that begins now.
func (s *Settings) stopSchedule(now time.Time) timelimit.Schedule {
	drain := now.Add(s.LeaveWait)
	end := drain.Add(s.StopTimeout)
	reserve := min(answerReserve, s.StopTimeout/maxAnswerReserve)
	return timelimit.Schedule{Drain: drain, RequestsEnd: end.Add(-reserve), ResponsesEnd: end.Add(-reserve / 2), ProcessEnd: end}
}

// Validate returns all problems of the settings at once.
func (s *Settings) Validate() error {
	var check settings.Checker
	check.Process(&s.Process)
	check.Address("http-listen", s.HTTPListen)
	if s.LeaveWait < 0 || s.LeaveWait > time.Minute {
		check.Addf("leave-wait", "use a duration from 0s to 1m", "%s is out of range", s.LeaveWait)
	}
	if s.StopTimeout < time.Second {
		check.Addf("stop-timeout", "use at least 1s", "%s is out of range", s.StopTimeout)
	}
	if s.MemoryMB < minMemoryMB || s.MemoryMB > maxMemoryMB {
		check.Addf("memory-mb", "use a number from 64 to 1048576", "%d is out of range", s.MemoryMB)
	}
	if s.RecentDecisions < 1 || s.RecentDecisions > maxRecentDecisions {
		check.Addf("recent-decisions", "use a number from 1 to 100000", "%d is out of range", s.RecentDecisions)
	}
	if s.DetailEvery < 1 {
		check.Addf("detail-every", "use 1 or more", "%d is out of range", s.DetailEvery)
	}
	return check.Err()
}
