package endpoint

import (
	"time"

	"laburnumgw/lib/settings"
	"laburnumgw/lib/timelimit"
)

const (
	// maxWeightsMemoryMB bounds --weights-memory-mb to 4 TB.
	maxWeightsMemoryMB = 4 << 20
	megabyte           = 1 << 20
	megabit            = 1_000_000 / 8
)

// Settings configure an endpoint process. The process runs on the same VM as its endpoint,
// which is either a model engine or a plain service.
type Settings struct {
	settings.Process
	Engine          string        `long:"engine" env:"LABURNUMGW_ENGINE" description:"loopback URL of the model engine"`
	Models          []string      `long:"model" env:"LABURNUMGW_MODELS" env-delim:"," description:"model that the engine accepts; repeat for several"`
	Service         string        `long:"service" env:"LABURNUMGW_SERVICE" description:"name of the plain service"`
	ServiceURL      string        `long:"service-url" env:"LABURNUMGW_SERVICE_URL" description:"loopback URL of the plain service"`
	ServiceTimeout  time.Duration `long:"service-timeout" env:"LABURNUMGW_SERVICE_TIMEOUT" default:"30s" description:"longest run of a non-idempotent request"`
	Origin          string        `long:"origin" env:"LABURNUMGW_ORIGIN" description:"URL of the weight store"`
	HomeRegion      string        `long:"home-region" env:"LABURNUMGW_HOME_REGION" description:"region of the weight store; the same on all VMs"`
	WeightsListen   string        `long:"weights-listen" env:"LABURNUMGW_WEIGHTS_LISTEN" description:"loopback IP:port where the engine reads weights"`
	WeightsMemoryMB int64         `long:"weights-memory-mb" env:"LABURNUMGW_WEIGHTS_MEMORY_MB" default:"4096" description:"memory for weights in MB"`
	LinkMbit        float64       `long:"link-mbit" env:"LABURNUMGW_LINK_MBIT" default:"1000" description:"rate of this VM's link in Mbit/s"`
	OriginMbit      float64       `long:"origin-mbit" env:"LABURNUMGW_ORIGIN_MBIT" default:"2000" description:"rate of the origin's link in Mbit/s"`
	StopTimeout     time.Duration `long:"stop-timeout" env:"LABURNUMGW_STOP_TIMEOUT" default:"10m" description:"longest time that a stopping process waits for running requests"`
}

// closeReserve is the part of StopTimeout in which the outcomes of requests that still run are recorded
// and the journal is closed. It takes a sixth of it at most.
const (
	closeReserve    = 2 * time.Second
	maxCloseReserve = 6
)

// stopSchedule returns the times of a planned stop that begins now.
func (s *Settings) stopSchedule(now time.Time) timelimit.Schedule {
	end := now.Add(s.StopTimeout)
	requestsEnd := end.Add(-min(closeReserve, s.StopTimeout/maxCloseReserve))
	return timelimit.Schedule{Drain: now, RequestsEnd: requestsEnd, ResponsesEnd: end, ProcessEnd: end}
}

// Validate returns all problems of the settings at once.
func (s *Settings) Validate() error {
	var check settings.Checker
	check.Process(&s.Process)
	switch {
	case s.Engine != "" && s.Service != "":
		check.Addf("engine", "run one endpoint process for each endpoint", "contradicts --service")
	case s.Engine != "":
		s.validateEngine(&check)
	case s.Service != "":
		check.Name("service", s.Service)
		check.LoopbackURL("service-url", s.ServiceURL)
	default:
		check.Addf("engine", "set --engine or --service", "no endpoint is named")
	}
	if s.StopTimeout < time.Second {
		check.Addf("stop-timeout", "use at least 1s", "%s is out of range", s.StopTimeout)
	}
	if s.ServiceTimeout < time.Second || s.ServiceTimeout > time.Hour {
		check.Addf("service-timeout", "use a duration from 1s to 1h", "%s is out of range", s.ServiceTimeout)
	}
	return check.Err()
}

func (s *Settings) validateEngine(check *settings.Checker) {
	check.LoopbackURL("engine", s.Engine)
	check.URL("origin", s.Origin)
	check.Name("home-region", s.HomeRegion)
	check.LoopbackURL("weights-listen", "http://"+s.WeightsListen)
	if len(s.Models) == 0 {
		check.Addf("model", "name at least one model", "is missing")
	}
	for _, model := range s.Models {
		check.Name("model", model)
	}
	if s.WeightsMemoryMB < 1 || s.WeightsMemoryMB > maxWeightsMemoryMB {
		check.Addf("weights-memory-mb", "use a number from 1 to 4194304", "%d is out of range", s.WeightsMemoryMB)
	}
	if s.LinkMbit <= 0 {
		check.Addf("link-mbit", "use a positive rate", "%g is out of range", s.LinkMbit)
	}
	if s.OriginMbit <= 0 {
		check.Addf("origin-mbit", "use a positive rate", "%g is out of range", s.OriginMbit)
	}
}
