package driver

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strings"

	"lukechampine.com/blake3"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configstore"
	"laburnumgw/lib/configsync"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/platform"
)

// Keys and key prefix of the platform's objects that propagation watches.
const (
	headKey         = "config/head"
	placementPrefix = "placement/"
	vmsKey          = "vms"
)

// digestBytes is the length of a bundle's digest in bytes, before hex encoding.
const digestBytes = 32

// storePlatform reads and watches the configuration in the platform's object API.
type storePlatform struct {
	store  platform.Store
	client *configstore.Client
	onVMs  func([]membership.VM)
}

// NewPlatform returns a Platform that accesses the configuration in the platform's object
// API. onVMs is called with the platform's list of VMs with each read of a configuration
// and when the list changes.
func NewPlatform(store platform.Store, onVMs func([]membership.VM)) Platform {
	return &storePlatform{store: store, client: configstore.NewClient(store), onVMs: onVMs}
}

// Read implements Platform. The version to watch from is read before the content, so that
// the watch reports a change that happens during the read.
func (p *storePlatform) Read(ctx context.Context, have *laburnumgwv1.ConfigBundle) (configsync.ReadResult, error) {
	_, version, err := p.store.List(ctx, vmsKey)
	if err != nil {
		return configsync.ReadResult{}, err
	}
	head, err := p.store.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return configsync.ReadResult{Version: version}, nil
	}
	if err != nil {
		return configsync.ReadResult{}, err
	}
	p.readVMs(ctx)
	bundle, err := p.client.Read(ctx, previous(have))
	if errkind.Is(err, errkind.NotFound) {
		return configsync.ReadResult{Version: version}, nil
	}
	if err != nil {
		return configsync.ReadResult{}, err
	}
	message := bundle.Proto()
	message.Digest = Digest(message)
	return configsync.ReadResult{Bundle: message, HeadVersion: head.Version, Version: version}, nil
}

// previous returns the bundle whose files and models need not be read again, or nil.
func previous(have *laburnumgwv1.ConfigBundle) *configstore.Bundle {
	if have == nil {
		return nil
	}
	return &configstore.Bundle{Generation: have.GetGeneration(), Files: configstore.Files(have), Models: have.GetModels()}
}

// vmRecord is one element of the platform's list of VMs.
type vmRecord struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
	Role    string `json:"role"`
	Leaving bool   `json:"leaving"`
}

// readVMs passes the list of VMs to onVMs. The list lags behind and is only a hint, so that
// an error does not fail the read of the configuration.
func (p *storePlatform) readVMs(ctx context.Context) {
	object, err := p.store.Get(ctx, vmsKey)
	if err != nil {
		return
	}
	var records []vmRecord
	if err := json.Unmarshal(object.Value, &records); err != nil {
		return
	}
	list := make([]membership.VM, 0, len(records))
	for _, r := range records {
		list = append(list, membership.VM{
			Peer:  membership.Peer{VM: r.VM, Zone: r.Zone, Region: r.Region, Address: r.Address},
			Entry: r.Role == "entry", Leaving: r.Leaving,
		})
	}
	p.onVMs(list)
}

// Watch implements Platform.
func (p *storePlatform) Watch(ctx context.Context, after int64) (bool, int64, error) {
	events, version, err := p.store.Watch(ctx, []string{headKey, placementPrefix, vmsKey}, after)
	if err != nil {
		return false, after, err
	}
	for _, event := range events {
		if event.Object.Key == vmsKey {
			p.readVMs(ctx)
		}
	}
	return changesConfig(events), version, nil
}

// changesConfig reports whether an event concerns the head or a placement.
func changesConfig(events []platform.Event) bool {
	for _, event := range events {
		if event.Object.Key == headKey || strings.HasPrefix(event.Object.Key, placementPrefix) {
			return true
		}
	}
	return false
}

// WriteBack implements Platform.
func (p *storePlatform) WriteBack(ctx context.Context, write configsync.WriteBack) error {
	bundle := write.Bundle
	complete := configstore.NewBundle(bundle.GetGeneration(), configstore.Files(bundle), bundle.GetModels(), bundle.GetPlacements())
	_, err := p.client.WriteBack(ctx, complete)
	return err
}

// Digest returns the hash of the generation and the accepted files of a bundle. Placements
// and model versions are left out, because they change within a generation.
func Digest(bundle *laburnumgwv1.ConfigBundle) string {
	hash := blake3.New(digestBytes, nil)
	writeNumber := func(n uint64) {
		var buffer [8]byte
		binary.BigEndian.PutUint64(buffer[:], n)
		_, _ = hash.Write(buffer[:])
	}
	writeNumber(bundle.GetGeneration())
	for _, file := range bundle.GetFiles() {
		for _, part := range [][]byte{[]byte(file.GetName()), file.GetContent()} {
			writeNumber(uint64(len(part)))
			_, _ = hash.Write(part)
		}
	}
	return hex.EncodeToString(hash.Sum(nil))
}
