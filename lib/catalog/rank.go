package catalog

import "slices"

// ranksPerWorkspace separates the ranks of two workspaces: their priorities come first, then those of the routes.
const ranksPerWorkspace = 1000

// Rank returns the rank of a request; 0 is the most urgent. The priority of its workspace comes first, then that of its route.
// A request without a workspace that has a priority comes after those with one.
func (s *Snapshot) Rank(route *Route, workspace *Workspace) int {
	return clampPriority(s.WorkspacePriority(workspace))*ranksPerWorkspace + clampPriority(route.Priority)
}

// WorkspacePriority returns the priority of a workspace; that of the least urgent one for none, or one without a priority.
func (s *Snapshot) WorkspacePriority(workspace *Workspace) int {
	if workspace != nil && workspace.HasPriority {
		return workspace.Priority
	}
	return s.leastUrgent
}

// RoutePriorities returns the priorities of the routes to a service, in order.
func (s *Snapshot) RoutePriorities(service string) []int {
	var priorities []int
	for _, list := range s.routes {
		for _, route := range list {
			if slices.ContainsFunc(route.Backends, func(b Backend) bool { return b.Service == service }) {
				priorities = append(priorities, route.Priority)
			}
		}
	}
	slices.Sort(priorities)
	return slices.Compact(priorities)
}

// Ranks returns the different ranks of the requests to a service, in order.
func (s *Snapshot) Ranks(service string) []int {
	var ranks []int
	for _, list := range s.routes {
		for _, route := range list {
			if !slices.ContainsFunc(route.Backends, func(b Backend) bool { return b.Service == service }) {
				continue
			}
			if route.Public || !s.restricted {
				ranks = append(ranks, s.Rank(route, nil))
			}
			for _, workspace := range s.workspaces {
				ranks = append(ranks, s.Rank(route, workspace))
			}
		}
	}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// HasUnequalRoutes reports whether routes to a service differ in priority.
func (s *Snapshot) HasUnequalRoutes(service string) bool {
	var first *Route
	for _, list := range s.routes {
		for _, route := range list {
			if !slices.ContainsFunc(route.Backends, func(b Backend) bool { return b.Service == service }) {
				continue
			}
			if first != nil && first.Priority != route.Priority {
				return true
			}
			first = route
		}
	}
	return false
}

// leastUrgent returns the priority of the least urgent workspace.
func leastUrgent(workspaces map[string]*Workspace) int {
	least := 0
	for _, workspace := range workspaces {
		if workspace.HasPriority {
			least = max(least, clampPriority(workspace.Priority))
		}
	}
	return least
}

func clampPriority(priority int) int { return min(max(priority, 0), ranksPerWorkspace-1) }
