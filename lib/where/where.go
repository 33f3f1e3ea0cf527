// Package where explains where a request would go now, and what would refuse it. It only reads decisions.
package where

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/routing"
)

// Load is what an entry knows about the load of an endpoint.
type Load struct {
	Running, Queued, Slots int
	// Expected is the time to the first event, and Age that of the figures; negative when unknown.
	Expected, Age time.Duration
	Version       string
}

// UnknownLoad describes an endpoint without a report.
var UnknownLoad = Load{Expected: -1, Age: -1}

// Choice describes the decision of Pick for one service. The request must have been picked with its detail.
func Choice(service string, share float64, decision routing.Decision, err error, load func(vm string) Load) *laburnumgwv1.WhereChoice {
	choice := &laburnumgwv1.WhereChoice{Service: service, Share: share, Passing: 1}
	candidates := decision.Candidates
	if err != nil {
		choice.Refusal, choice.RetryAfterMs = refusal(err)
		var none *routing.NoEndpointError
		if errors.As(err, &none) {
			candidates = none.Candidates
		}
	} else {
		choice.Chosen, choice.Reason = decision.VM, string(decision.Reason)
	}
	for _, c := range candidates {
		choice.Candidates = append(choice.Candidates, candidate(c, load(c.VM)))
	}
	slices.SortStableFunc(choice.Candidates, func(a, b *laburnumgwv1.WhereCandidate) int { return compare(choice.Chosen, a, b) })
	return choice
}

func refusal(err error) (string, int64) {
	var typed *errkind.Error
	if errors.As(err, &typed) {
		return err.Error(), typed.RetryAfter.Milliseconds()
	}
	return err.Error(), 0
}

func candidate(c routing.Candidate, load Load) *laburnumgwv1.WhereCandidate {
	return &laburnumgwv1.WhereCandidate{
		Vm: c.VM, Zone: c.Zone, Score: c.Score, FilteredBy: string(c.FilteredBy), Running: int32(load.Running), Queued: int32(load.Queued),
		Slots: int32(load.Slots), ExpectedMs: milliseconds(load.Expected), AgeMs: milliseconds(load.Age), Version: load.Version,
	}
}

func milliseconds(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

// compare orders the chosen candidate first, then the eligible ones by score, then the excluded ones by name.
func compare(chosen string, a, b *laburnumgwv1.WhereCandidate) int {
	rank := func(c *laburnumgwv1.WhereCandidate) int {
		switch {
		case c.GetVm() == chosen:
			return 0
		case c.GetFilteredBy() == "":
			return 1
		}
		return 2
	}
	switch {
	case rank(a) != rank(b):
		return rank(a) - rank(b)
	case a.GetFilteredBy() == "" && a.GetScore() < b.GetScore():
		return -1
	case a.GetFilteredBy() == "" && a.GetScore() > b.GetScore():
		return 1
	}
	return strings.Compare(a.GetVm(), b.GetVm())
}

// maxListed bounds the names that an error lists.
const maxListed = 20

// Unknown returns the error for a name that does not exist, with those that do.
func Unknown(kind, name string, existing []string) error {
	existing = slices.Sorted(slices.Values(existing))
	more := ""
	if len(existing) > maxListed {
		more = fmt.Sprintf(" and %d more", len(existing)-maxListed)
		existing = existing[:maxListed]
	}
	if len(existing) == 0 {
		return status.Errorf(codes.NotFound, "%s %q does not exist; the configuration in force has none", kind, name)
	}
	return status.Errorf(codes.NotFound, "%s %q does not exist; use one of %s%s", kind, name, strings.Join(existing, ", "), more)
}

// Bounds of the figures of a request.
const (
	maxTokens = 10_000_000
	maxParts  = 32
)

// Check returns an error that names a figure out of range and its bound.
func Check(request *laburnumgwv1.WhereRequest) error {
	for _, figure := range []struct {
		name  string
		value int32
	}{{"prompt tokens", request.GetPromptTokens()}, {"output tokens", request.GetOutputTokens()}} {
		if figure.value < 0 || figure.value > maxTokens {
			return status.Errorf(codes.InvalidArgument, "%s are %d; use 0 to %d", figure.name, figure.value, maxTokens)
		}
	}
	if len(request.GetParts()) > maxParts {
		return status.Errorf(codes.InvalidArgument, "%d parts are given; use at most %d", len(request.GetParts()), maxParts)
	}
	return nil
}
