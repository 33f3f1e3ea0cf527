package entry

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/config"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/where"
)

// whereServer explains to operators where this entry would send a request.
type whereServer struct {
	laburnumgwv1.UnimplementedWhereServer
	control *control
	routes  *routes
}

// Where implements the Where service.
func (s *whereServer) Where(_ context.Context, request *laburnumgwv1.WhereRequest) (*laburnumgwv1.WhereResponse, error) {
	if err := where.Check(request); err != nil {
		return nil, err
	}
	current := s.control.current.Load()
	if current == nil {
		return nil, status.Error(codes.FailedPrecondition, "this entry has no configuration yet; ask another one")
	}
	r, err := resolve(request, current.snapshot)
	if err != nil {
		return nil, err
	}
	name := r.service + r.model
	rank := current.snapshot.Workspaces[r.workspace].Priority
	return &laburnumgwv1.WhereResponse{
		Entry: s.control.self.VM, Config: current.generation, Route: name, Workspace: r.workspace, WorkspaceRank: int32(rank),
		Choices: []*laburnumgwv1.WhereChoice{s.routes.where(r, name, s.loads())},
	}, nil
}

// resolve finds the service or the model of a request.
func resolve(asked *laburnumgwv1.WhereRequest, snapshot *config.Snapshot) (*request, error) {
	r := &request{
		id: "where", workspace: cmp.Or(asked.GetWorkspace(), defaultWorkspace), method: cmp.Or(asked.GetMethod(), http.MethodPost),
		path: asked.GetPath(), idempotencyKey: asked.GetIdempotencyKey(),
	}
	if _, known := snapshot.Workspaces[r.workspace]; !known && r.workspace != defaultWorkspace {
		return nil, where.Unknown("workspace", r.workspace, slices.Collect(maps.Keys(snapshot.Workspaces)))
	}
	if name, service, ok := matchService(snapshot, r.path); ok {
		if err := r.setService(name, service); err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		return r, nil
	}
	if !strings.HasPrefix(r.path, modelPathPrefix) {
		return nil, where.Unknown("service for path", r.path, slices.Collect(maps.Keys(snapshot.Services)))
	}
	if _, known := snapshot.Models[asked.GetModel()]; !known {
		return nil, where.Unknown("model", asked.GetModel(), slices.Collect(maps.Keys(snapshot.Models)))
	}
	r.model, r.idempotent = asked.GetModel(), true
	return r, nil
}

// loads returns the load of each endpoint by its last report.
func (s *whereServer) loads() map[string]where.Load {
	loads := make(map[string]where.Load)
	for _, view := range s.control.members.endpoints() {
		if view.State == membership.Dead || view.Report == nil {
			continue
		}
		load := view.Report.GetLoad()
		loads[view.VM] = where.Load{
			Running: int(load.GetInFlight()), Queued: int(load.GetQueued()), Slots: int(load.GetLimit()), Expected: expectedWait(load), Age: -1,
		}
	}
	return loads
}

// expectedWait returns how long a request is expected to wait for a place, by the mean service time.
func expectedWait(load *laburnumgwv1.Load) time.Duration {
	if load.GetServiceTimeUs() <= 0 || load.GetLimit() <= 0 {
		return -1
	}
	ahead := max(0, load.GetInFlight()+load.GetQueued()+1-load.GetLimit())
	return time.Duration(ahead) * time.Duration(load.GetServiceTimeUs()) * time.Microsecond / time.Duration(load.GetLimit())
}

// where explains the decision that pick would take.
func (t *routes) where(r *request, name string, loads map[string]where.Load) *laburnumgwv1.WhereChoice {
	t.mu.Lock()
	defer t.mu.Unlock()
	query := t.query(r, 1, "", nil)
	query.Detail = true
	decision, err := t.table.Pick(query, time.Now())
	return where.Choice(name, 1, decision, err, func(vm string) where.Load {
		if load, known := loads[vm]; known {
			return load
		}
		return where.UnknownLoad
	})
}
