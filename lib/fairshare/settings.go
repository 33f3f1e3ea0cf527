package fairshare

import "laburnumgw/lib/errkind"

// Bounds of the settings.
const (
	MaxRank   = 1000
	MinWeight = 0.001
	MaxWeight = 1000
)

// Workspace holds the settings of one workspace.
type Workspace struct {
	// Rank is that of the workspace; 0 is the most urgent. It comes before the rank of requests.
	Rank int
	// Weight is the workspace's share relative to others of its rank; zero for 1.
	Weight float64
}

// Settings configure a service.
type Settings struct {
	// Workspaces holds the settings by name, and Others those of all others.
	Workspaces map[string]Workspace
	Others     Workspace
	// Ranks are the ranks of the requests to the service.
	Ranks []int
	// byRank is made of Workspaces.
	byRank map[int]crowd
}

// applies reports whether the configuration asks for shares: requests or workspaces differ in rank, or workspaces in weight.
// Equals are served first come, first served.
func (s *Settings) applies() bool {
	for _, rank := range s.Ranks {
		if rank != s.Ranks[0] {
			return true
		}
	}
	var first *Workspace
	for name := range s.Workspaces {
		switch w := s.workspace(name); {
		case first == nil:
			first = &w
		case w != *first:
			return true
		}
	}
	return false
}

func (s *Settings) validate() error {
	for _, rank := range s.Ranks {
		if rank < 0 || rank > MaxRank {
			return errkind.New(errkind.Invalid, "use a rank from 0 to 1000; the settings in force stay", "a route has the rank %d", rank)
		}
	}
	if err := s.Others.validate(""); err != nil {
		return err
	}
	for name, w := range s.Workspaces {
		if err := w.validate(name); err != nil {
			return err
		}
	}
	return nil
}

func (w Workspace) validate(name string) error {
	if w.Rank < 0 || w.Rank > MaxRank {
		return errkind.New(errkind.Invalid, "use a rank from 0 to 1000; the settings in force stay", "workspace %q has the rank %d", name, w.Rank)
	}
	if w.Weight != 0 && !(w.Weight >= MinWeight && w.Weight <= MaxWeight) {
		return errkind.New(errkind.Invalid, "use a weight from 0.001 to 1000; the settings in force stay", "workspace %q has the weight %g", name, w.Weight)
	}
	return nil
}

func (s *Settings) workspace(name string) Workspace {
	w, known := s.Workspaces[name]
	if !known {
		w = s.Others
	}
	if w.Weight == 0 {
		w.Weight = 1
	}
	return w
}
