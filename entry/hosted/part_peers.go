package hosted

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/quarantine"
	"laburnumgw/lib/rpc"
)

const (
	// partEvidenceTimeout bounds a call that asks another entry what it knows about parts of
	// prompts.
	partEvidenceTimeout = time.Second
	// maxEvidenceBytes bounds a datagram, so that it fits into one packet.
	maxEvidenceBytes = 1000
)

// partPeers reaches the other entries.
type partPeers interface {
	// AnnounceEvidence sends evidence to all other entries. It may be lost.
	AnnounceEvidence(evidence *laburnumgwv1.PartEvidence)
	// ListPartEvidence asks an entry for all that it knows.
	ListPartEvidence(ctx context.Context, address string) (*laburnumgwv1.PartEvidence, error)
}

// promptPartsServer tells the other entries what this one knows about parts of prompts.
type promptPartsServer struct {
	laburnumgwv1.UnimplementedPromptPartsServer
	view *view
}

// ListPartEvidence implements the PromptParts service.
func (s *promptPartsServer) ListPartEvidence(context.Context, *laburnumgwv1.ListPartEvidenceRequest) (*laburnumgwv1.PartEvidence, error) {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	return evidenceMessage(s.view.quarantine.State(time.Now())), nil
}

// AnnounceEvidence implements partPeers.
func (p processPeers) AnnounceEvidence(evidence *laburnumgwv1.PartEvidence) {
	data, err := proto.Marshal(&laburnumgwv1.WorkerReport{Evidence: evidence})
	if err != nil {
		p.log.Error("evidence not encoded", zap.Error(err))
		return
	}
	p.sendToEntries(p.socket, data)
}

// ListPartEvidence implements partPeers.
func (p processPeers) ListPartEvidence(ctx context.Context, address string) (*laburnumgwv1.PartEvidence, error) {
	response, err := rpc.Call(ctx, p.conns, address, partEvidenceTimeout, laburnumgwv1.NewPromptPartsClient,
		laburnumgwv1.PromptPartsClient.ListPartEvidence, new(laburnumgwv1.ListPartEvidenceRequest))
	if err != nil {
		return nil, fmt.Errorf("list evidence of %s: %w", address, err)
	}
	return response, nil
}

// evidenceMessage returns the wire form of a message.
func evidenceMessage(m quarantine.Message) *laburnumgwv1.PartEvidence {
	evidence := new(laburnumgwv1.PartEvidence)
	for _, c := range m.Crashes {
		evidence.Crashes = append(evidence.Crashes, crashMessage(c))
	}
	for _, counts := range m.Counts {
		evidence.Counts = append(evidence.Counts, &laburnumgwv1.PartCounts{Part: counts.Name, Entry: counts.Entry, Before: counts.Before, Since: counts.Since})
	}
	for _, b := range m.Blocks {
		evidence.Blocks = append(evidence.Blocks, &laburnumgwv1.PartBlock{Parts: b.Names, Workspaces: b.Workspaces, Epoch: b.Epoch, Released: b.Released})
	}
	return evidence
}

func crashMessage(c quarantine.Crash) *laburnumgwv1.WorkerCrash {
	message := &laburnumgwv1.WorkerCrash{Address: c.Start.Address, Born: c.Start.StartedAtMs, Zone: c.Zone, AgeMs: c.Age.Milliseconds()}
	for _, s := range c.Suspects {
		message.Suspects = append(message.Suspects, &laburnumgwv1.SuspectedPart{Part: s.Name, Workspaces: s.Workspaces})
	}
	return message
}

// readEvidence returns the message of a wire form.
func readEvidence(evidence *laburnumgwv1.PartEvidence) quarantine.Message {
	var m quarantine.Message
	for _, c := range evidence.GetCrashes() {
		crash := quarantine.Crash{
			Start: quarantine.Start{Address: c.GetAddress(), StartedAtMs: c.GetBorn()}, Zone: c.GetZone(), Age: time.Duration(c.GetAgeMs()) * time.Millisecond,
		}
		for _, s := range c.GetSuspects() {
			crash.Suspects = append(crash.Suspects, quarantine.Suspect{Name: s.GetPart(), Workspaces: s.GetWorkspaces()})
		}
		m.Crashes = append(m.Crashes, crash)
	}
	for _, counts := range evidence.GetCounts() {
		m.Counts = append(m.Counts, quarantine.Counts{Name: counts.GetPart(), Entry: counts.GetEntry(), Before: counts.GetBefore(), Since: counts.GetSince()})
	}
	for _, b := range evidence.GetBlocks() {
		m.Blocks = append(m.Blocks, quarantine.Block{Names: b.GetParts(), Workspaces: b.GetWorkspaces(), Epoch: b.GetEpoch(), Released: b.GetReleased()})
	}
	return m
}

// splitEvidence returns messages that each fit into a datagram and together say the same.
func splitEvidence(m quarantine.Message) []*laburnumgwv1.PartEvidence {
	var list []*laburnumgwv1.PartEvidence
	current := new(laburnumgwv1.PartEvidence)
	add := func(item *laburnumgwv1.PartEvidence) {
		if proto.Size(current)+proto.Size(item) > maxEvidenceBytes && proto.Size(current) > 0 {
			list = append(list, current)
			current = new(laburnumgwv1.PartEvidence)
		}
		proto.Merge(current, item)
	}
	for _, c := range m.Crashes {
		for _, s := range c.Suspects {
			add(evidenceMessage(quarantine.Message{Crashes: []quarantine.Crash{{Start: c.Start, Zone: c.Zone, Age: c.Age, Suspects: []quarantine.Suspect{s}}}}))
		}
	}
	for _, counts := range m.Counts {
		add(evidenceMessage(quarantine.Message{Counts: []quarantine.Counts{counts}}))
	}
	for _, b := range m.Blocks {
		add(evidenceMessage(quarantine.Message{Blocks: []quarantine.Block{b}}))
	}
	if proto.Size(current) > 0 {
		list = append(list, current)
	}
	return list
}
