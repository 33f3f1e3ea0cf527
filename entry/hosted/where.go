package hosted

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/catalog"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/fairshare"
	"laburnumgw/lib/routing"
	"laburnumgw/lib/where"
	"laburnumgw/platform"
)

// whereServer explains to operators where this entry would send a request.
type whereServer struct {
	laburnumgwv1.UnimplementedWhereServer
	front *frontend
}

// Where implements the Where service.
func (s *whereServer) Where(_ context.Context, request *laburnumgwv1.WhereRequest) (*laburnumgwv1.WhereResponse, error) {
	if err := where.Check(request); err != nil {
		return nil, err
	}
	v := s.front.view
	snapshot := v.snapshot.Load()
	if snapshot == nil {
		return nil, status.Error(codes.FailedPrecondition, "this entry has no configuration yet; ask another one")
	}
	route := snapshot.Match(request.GetHost(), request.GetPath())
	if route == nil {
		return nil, where.Unknown("route for", request.GetHost()+request.GetPath(), snapshot.RoutePaths())
	}
	workspace, known := snapshot.WorkspaceNamed(request.GetWorkspace())
	if !known && request.GetWorkspace() != "" {
		return nil, where.Unknown("workspace", request.GetWorkspace(), snapshot.WorkspaceNames())
	}
	response := &laburnumgwv1.WhereResponse{
		Entry: v.settings.VM, Config: uint64(snapshot.Version), Route: route.Name, Workspace: request.GetWorkspace(),
		Rank: int32(route.Priority), Regions: catalog.AllowedRegions(route, workspace),
	}
	if workspace != nil {
		response.WorkspaceRank = int32(workspace.Priority)
	}
	for _, backend := range route.Backends {
		response.Choices = append(response.Choices, s.choose(request, route, workspace, backend.Service, route.ShareOf(backend)))
	}
	return response, nil
}

// choose explains the decision for one service.
func (s *whereServer) choose(request *laburnumgwv1.WhereRequest, route *catalog.Route, workspace *catalog.Workspace, name string, share float64) *laburnumgwv1.WhereChoice {
	service, engine := s.front.view.service(name)
	if service == nil {
		return where.Choice(name, share, routing.Decision{}, errkind.New(errkind.NotRun, "check the services of the configuration", "service %q is not known here", name), nil)
	}
	now := time.Now()
	c := &call{
		frontend: s.front, started: now, route: route, workspace: workspace, regions: catalog.AllowedRegions(route, workspace), serviceName: name,
		service: service, engine: engine, limits: s.front.shutdown.Limits(now.Add(deadline(0, route.Timeout))),
		in: platform.CallerHeaders{
			PromptTokens: int(request.GetPromptTokens()), ExpectedOutputTokens: int(request.GetOutputTokens()),
			MaxOutputTokens: int(request.GetOutputTokens()), PromptParts: partNames(request.GetParts()),
		},
	}
	if !c.limits.Admits(now, c.expected()) || !c.fits() {
		return where.Choice(name, share, routing.Decision{}, refusedAtStop(), nil)
	}
	if block, retryAfter, blocked := s.front.view.blockOf(c.in.PromptParts, c.workspaceName()); blocked {
		err := errkind.New(errkind.NotRun, "see laburnumctl part list", "workers crash on %s, which is blocked", block.Name()).WithRetryAfter(retryAfter)
		return where.Choice(name, share, routing.Decision{}, err, nil)
	}
	query := c.query(1, "", nil)
	query.MaxWait = c.maxWait()
	query.Detail = true
	v := s.front.view
	v.mu.Lock()
	defer v.mu.Unlock()
	service.load.decideFor(route.Name, now)
	decision, err := service.table.Pick(query, now)
	if err == nil {
		err = c.tooLate(decision)
	}
	choice := where.Choice(name, share, decision, err, func(vm string) where.Load { return v.loadForOperators(vm, c, now) })
	choice.Passing = service.passing(fairshare.Class{Workspace: c.workspaceName(), Rank: route.Priority})
	return choice
}

// passing returns the part of a class's requests that passes now. The caller holds the lock.
func (s *service) passing(class fairshare.Class) float64 {
	if s.shares == nil || !s.shares.Short() {
		return 1
	}
	for _, share := range s.shares.Shares() {
		if share.Class == class {
			return share.Part
		}
	}
	return 1
}

func partNames(ids []string) []string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, platform.PartName(id))
	}
	return names
}

// loadForOperators returns the load of a worker's last report, and the wait there that the decision about a request has used.
// The caller holds the lock.
func (v *view) loadForOperators(vm string, c *call, now time.Time) where.Load {
	load := where.UnknownLoad
	w := v.workers[vm]
	if w == nil {
		return load
	}
	load.Slots = w.Slots
	if w.hasReport(now) {
		load.Running, load.Queued, load.Age = w.report.Running, w.report.Queued, now.Sub(w.reportedAt)
		if c.engine != nil {
			load.Expected = c.engine.StartWait(w.report.Queued, w.report.Running)
		}
	}
	if w.load != nil && c.service.load.isUneven() {
		load.Expected = w.load.FirstByte(int64(c.in.PromptTokens), now)
	}
	if weights := w.currentWeights(now); weights.Version > 0 {
		load.Version = strconv.Itoa(weights.Version)
	}
	return load
}
