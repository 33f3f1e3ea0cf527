package configstore

import (
	"context"
	"errors"
	"maps"
	"slices"

	"golang.org/x/sync/errgroup"

	v1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/config"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

const (
	// maxReadAttempts bounds the attempts of a read. An attempt fails when the head
	// changes during it.
	maxReadAttempts = 20
	// listThreshold is the number of missing files from which one list call for all
	// files costs less than one get call for each missing one.
	listThreshold = 64
)

// Read returns the accepted configuration.
func Read(ctx context.Context, store platform.Store) (*Bundle, error) {
	return NewClient(store).Read(ctx, nil)
}

// Read returns the accepted configuration with the referenced model versions and the
// placements. It repeats the read when the head changes meanwhile, so a bundle never
// mixes the files of two generations. File contents that previous holds are not fetched
// again; previous may be nil. Read fails with the kind NotFound when no configuration
// was applied yet.
func (c *Client) Read(ctx context.Context, previous *Bundle) (*Bundle, error) {
	var bundle *Bundle
	err := c.readConsistent(ctx, func(head Head) (err error) {
		bundle, err = c.readBundle(ctx, head, previous)
		return err
	})
	return bundle, err
}

// ReadFiles returns the accepted generation and its files.
func (c *Client) ReadFiles(ctx context.Context) (uint64, []config.File, error) {
	var generation uint64
	var files []config.File
	err := c.readConsistent(ctx, func(head Head) (err error) {
		generation = head.Generation
		files, err = c.readFiles(ctx, head, nil)
		return err
	})
	return generation, files, err
}

// readConsistent repeats a read until the head is the same before and after it. A later
// apply may remove file contents that the earlier head lists, so the error of a read
// during which the head changed is ignored.
func (c *Client) readConsistent(ctx context.Context, read func(Head) error) error {
	for range maxReadAttempts {
		head, version, err := c.readHead(ctx)
		if err != nil {
			return err
		}
		if version == 0 {
			return errNoConfiguration()
		}
		readErr := read(head)
		_, after, err := c.readHead(ctx)
		if err != nil {
			return err
		}
		if after == version {
			return readErr
		}
	}
	return errkind.New(errkind.Unavailable, "try again", "the configuration changed during each of %d reads", maxReadAttempts)
}

func errNoConfiguration() error {
	return errkind.New(errkind.NotFound, "apply a configuration first", "the platform holds no configuration")
}

func (c *Client) readBundle(ctx context.Context, head Head, previous *Bundle) (*Bundle, error) {
	files, err := c.readFiles(ctx, head, previous)
	if err != nil {
		return nil, err
	}
	snapshot, err := config.Parse(files)
	if err != nil {
		return nil, err
	}
	placements, err := c.readPlacements(ctx)
	if err != nil {
		return nil, err
	}
	models, err := c.readModels(ctx, snapshot, placements)
	if err != nil {
		return nil, err
	}
	return NewBundle(head.Generation, files, models, placements), nil
}

// readFiles returns the head's files after checking their contents against the digests.
func (c *Client) readFiles(ctx context.Context, head Head, previous *Bundle) ([]config.File, error) {
	known := make(map[string][]byte)
	if previous != nil {
		for _, file := range previous.Files {
			known[Digest(file.Content)] = file.Content
		}
	}
	missing := make(map[string]bool)
	for _, ref := range head.Files {
		if _, ok := known[ref.Digest]; !ok {
			missing[ref.Digest] = true
		}
	}
	if err := c.fetchFiles(ctx, slices.Sorted(maps.Keys(missing)), known); err != nil {
		return nil, err
	}
	files := make([]config.File, 0, len(head.Files))
	for _, ref := range head.Files {
		content, ok := known[ref.Digest]
		if !ok || Digest(content) != ref.Digest {
			return nil, errkind.New(errkind.Corrupt, "restore the object "+fileKey(ref.Digest),
				"the content of file %q is missing or does not match its digest", ref.Name)
		}
		files = append(files, config.File{Name: ref.Name, Content: content})
	}
	return files, nil
}

func (c *Client) fetchFiles(ctx context.Context, digests []string, into map[string][]byte) error {
	if len(digests) >= listThreshold {
		objects, err := c.list(ctx, filePrefix)
		if err != nil {
			return err
		}
		for _, object := range objects {
			into[object.Key[len(filePrefix):]] = object.Value
		}
		return nil
	}
	contents := make([][]byte, len(digests))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(c.MaxConcurrentCalls)
	for i, digest := range digests {
		group.Go(func() error {
			object, err := c.get(ctx, fileKey(digest))
			if errors.Is(err, platform.ErrNotFound) {
				return nil
			}
			contents[i] = object.Value
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for i, digest := range digests {
		if contents[i] != nil {
			into[digest] = contents[i]
		}
	}
	return nil
}

// readModels returns the published versions that the configuration names, and those
// that the placements still assign to VMs. Withdrawn versions are omitted.
func (c *Client) readModels(ctx context.Context, snapshot *config.Snapshot, placements []*v1.Placement) ([]*v1.ModelVersion, error) {
	var models []*v1.ModelVersion
	digests := make(map[string]bool)
	for _, name := range slices.Sorted(maps.Keys(snapshot.Models)) {
		record, err := c.readRecord(ctx, name, snapshot.Models[name].Version)
		if err != nil {
			return nil, err
		}
		m, err := c.publishedVersion(ctx, record)
		if err != nil {
			return nil, err
		}
		digests[record.ManifestDigest] = true
		if m != nil {
			models = append(models, m)
		}
	}
	for _, placement := range placements {
		if _, ok := snapshot.Models[placement.GetModel()]; !ok || !assignsOtherVersion(placement, digests) {
			continue
		}
		records, err := c.listRecords(ctx, modelKey(placement.GetModel(), ""))
		if err != nil {
			return nil, err
		}
		for _, record := range records {
			if digests[record.ManifestDigest] || !assignsVersion(placement, record.ManifestDigest) {
				continue
			}
			m, err := c.publishedVersion(ctx, record)
			if err != nil {
				return nil, err
			}
			if m != nil {
				models = append(models, m)
			}
		}
	}
	return models, nil
}

func (c *Client) publishedVersion(ctx context.Context, record modelRecord) (*v1.ModelVersion, error) {
	if record.State == ModelWithdrawn {
		return nil, nil
	}
	return c.modelVersion(ctx, record)
}

func assignsOtherVersion(placement *v1.Placement, digests map[string]bool) bool {
	return slices.ContainsFunc(placement.GetAssignments(), func(a *v1.Assignment) bool { return !digests[a.GetVersionDigest()] })
}

func assignsVersion(placement *v1.Placement, digest string) bool {
	return slices.ContainsFunc(placement.GetAssignments(), func(a *v1.Assignment) bool { return a.GetVersionDigest() == digest })
}
