package configstore

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	v1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/config"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

const (
	modelPrefix = "models/"
	partInfix   = "/part/"
	// maxInlineDigestBytes is the largest list of chunk digests stored in the record.
	// JSON encodes it in base64, which adds a third.
	maxInlineDigestBytes = 512 << 10
	// partBytes is the size of one part of a longer list.
	partBytes = 1 << 20
	// maxChunks bounds the chunks of one version.
	maxChunks = 1 << 20
)

// ModelState says whether a version may be placed.
type ModelState string

// States of a model version.
const (
	ModelPublished ModelState = "published"
	ModelWithdrawn ModelState = "withdrawn"
)

// ModelInfo is a model version without its chunk digests.
type ModelInfo struct {
	Model          string     `json:"model"`
	Version        string     `json:"version"`
	ManifestDigest string     `json:"manifest_digest"`
	Size           int64      `json:"size"`
	ChunkSize      int64      `json:"chunk_size"`
	State          ModelState `json:"state"`
}

// modelRecord is the value of a model version's object.
type modelRecord struct {
	ModelInfo
	Operator string `json:"operator"`
	// Chunks holds the concatenated chunk digests when Parts is zero.
	Chunks []byte `json:"chunks,omitempty"`
	Parts  int    `json:"parts,omitempty"`
	// ChunksDigest is the digest of the concatenated chunk digests.
	ChunksDigest string `json:"chunks_digest"`
	// Hash is the hash function of the chunk digests; empty for BLAKE3. The manifest digest
	// covers it.
	Hash string `json:"hash,omitempty"`
}

func modelKey(model, version string) string { return modelPrefix + model + "/" + version }

func partKey(model, version string, n int) string {
	return fmt.Sprintf("%s%s%d", modelKey(model, version), partInfix, n)
}

// isPart reports whether a key is that of a part. Names have no slashes, so that only a part has
// as many of them.
func isPart(key string) bool {
	return strings.Count(key, "/") == strings.Count(partKey("", "", 0), "/")
}

// checkModel returns an error for a model version that is incomplete or inconsistent.
func checkModel(m *v1.ModelVersion) error {
	digest, err := hex.DecodeString(m.GetManifestDigest())
	switch {
	case !config.ValidName(m.GetModel()) || !config.ValidName(m.GetVersion()):
		return invalidModel(m, "the name cannot be used", "use letters, digits, dots, hyphens and underscores")
	case err != nil || len(digest) != digestBytes:
		return invalidModel(m, "the manifest digest is not a BLAKE3 digest in hexadecimal form", "build the manifest again")
	case m.GetSize() <= 0 || m.GetChunkSize() <= 0:
		return invalidModel(m, "size or chunk size is not positive", "build the manifest again")
	}
	chunks := (m.GetSize()-1)/m.GetChunkSize() + 1
	if chunks > maxChunks {
		return invalidModel(m, fmt.Sprintf("%d chunks, at most %d are allowed", chunks, maxChunks), "use larger chunks")
	}
	if int64(len(m.GetChunkDigests())) != chunks {
		return invalidModel(m, fmt.Sprintf("%d chunk digests for %d chunks", len(m.GetChunkDigests()), chunks), "build the manifest again")
	}
	for _, chunk := range m.GetChunkDigests() {
		if len(chunk) != digestBytes {
			return invalidModel(m, "a chunk digest has the wrong length", "build the manifest again")
		}
	}
	return nil
}

func invalidModel(m *v1.ModelVersion, problem, remedy string) error {
	return errkind.New(errkind.Invalid, remedy, "model %q version %q: %s", m.GetModel(), m.GetVersion(), problem)
}

// PublishModel stores a model version.
func PublishModel(ctx context.Context, store platform.Store, m *v1.ModelVersion, operator string) error {
	return NewClient(store).PublishModel(ctx, m, operator)
}

// PublishModel stores a model version. Publishing the same manifest again succeeds, so
// a caller repeats the call after a lost response. Another manifest under the
// same version fails with the kind Conflict.
func (c *Client) PublishModel(ctx context.Context, m *v1.ModelVersion, operator string) error {
	if err := checkModel(m); err != nil {
		return err
	}
	chunks := bytes.Join(m.GetChunkDigests(), nil)
	record := modelRecord{
		ModelInfo: ModelInfo{
			Model: m.GetModel(), Version: m.GetVersion(), ManifestDigest: m.GetManifestDigest(),
			Size: m.GetSize(), ChunkSize: m.GetChunkSize(), State: ModelPublished,
		},
		Operator:     operator,
		ChunksDigest: Digest(chunks),
		Hash:         m.GetHash(),
	}
	if existing, err := c.readRecord(ctx, m.GetModel(), m.GetVersion()); err == nil {
		return checkSameModel(existing, record)
	} else if !errkind.Is(err, errkind.NotFound) {
		return err
	}
	if len(chunks) <= maxInlineDigestBytes {
		record.Chunks = chunks
	} else if err := c.createParts(ctx, &record, chunks); err != nil {
		return err
	}
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode model record: %w", err)
	}
	err = c.createImmutable(ctx, modelKey(m.GetModel(), m.GetVersion()), value)
	return c.sameModelAfterRace(ctx, err, record)
}

// sameModelAfterRace accepts the record of another operator who published the same
// manifest at the same time.
func (c *Client) sameModelAfterRace(ctx context.Context, err error, record modelRecord) error {
	var mismatch *valueMismatchError
	if !errors.As(err, &mismatch) {
		return err
	}
	existing, err := c.readRecord(ctx, record.Model, record.Version)
	if err != nil {
		return err
	}
	return checkSameModel(existing, record)
}

func checkSameModel(existing, record modelRecord) error {
	if existing.State == ModelWithdrawn {
		return errModelExists(record, "was withdrawn")
	}
	if existing.ModelInfo != record.ModelInfo || existing.ChunksDigest != record.ChunksDigest {
		return errModelExists(record, "exists with another manifest")
	}
	return nil
}

func errModelExists(record modelRecord, problem string) error {
	return errkind.New(errkind.Conflict, "publish under another version name", "model %q version %q %s", record.Model, record.Version, problem)
}

// createParts stores a long list of chunk digests in parts, before the record that
// refers to them is written.
func (c *Client) createParts(ctx context.Context, record *modelRecord, chunks []byte) error {
	for part := range slices.Chunk(chunks, partBytes) {
		err := c.createImmutable(ctx, partKey(record.Model, record.Version, record.Parts), part)
		var mismatch *valueMismatchError
		if errors.As(err, &mismatch) {
			return errModelExists(*record, "was partly published with another manifest")
		}
		if err != nil {
			return err
		}
		record.Parts++
	}
	return nil
}

func (c *Client) readRecord(ctx context.Context, model, version string) (modelRecord, error) {
	object, err := c.get(ctx, modelKey(model, version))
	if errors.Is(err, platform.ErrNotFound) {
		return modelRecord{}, errkind.New(errkind.NotFound, "publish the version first", "model %q has no version %q", model, version)
	}
	if err != nil {
		return modelRecord{}, err
	}
	return decodeRecord(object)
}

func decodeRecord(object platform.Object) (modelRecord, error) {
	var record modelRecord
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return modelRecord{}, errkind.Wrap(err, errkind.Corrupt, "restore the object", "object %s cannot be read", object.Key)
	}
	if modelKey(record.Model, record.Version) != object.Key || record.Parts > maxChunks*digestBytes/partBytes {
		return modelRecord{}, errkind.New(errkind.Corrupt, "restore the object", "object %s describes model %q version %q in %d parts",
			object.Key, record.Model, record.Version, record.Parts)
	}
	return record, nil
}

// modelVersion returns the version of a record after verifying its chunk digests.
func (c *Client) modelVersion(ctx context.Context, record modelRecord) (*v1.ModelVersion, error) {
	chunks := record.Chunks
	for n := range record.Parts {
		object, err := c.get(ctx, partKey(record.Model, record.Version, n))
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Corrupt, "restore the object", "part %d of model %q version %q", n, record.Model, record.Version)
		}
		chunks = append(chunks, object.Value...)
	}
	if Digest(chunks) != record.ChunksDigest {
		return nil, errkind.New(errkind.Corrupt, "restore the objects of the version", "the chunk digests of model %q version %q do not match their digest",
			record.Model, record.Version)
	}
	m := &v1.ModelVersion{
		Model: record.Model, Version: record.Version, ManifestDigest: record.ManifestDigest,
		Size: record.Size, ChunkSize: record.ChunkSize,
		ChunkDigests: slices.Collect(slices.Chunk(chunks, digestBytes)),
		Hash:         record.Hash,
	}
	return m, checkModel(m)
}

// ListModels returns all model versions in order of their names.
func ListModels(ctx context.Context, store platform.Store) ([]ModelInfo, error) {
	return NewClient(store).ListModels(ctx)
}

// ListModels returns all model versions in order of their names.
func (c *Client) ListModels(ctx context.Context) ([]ModelInfo, error) {
	records, err := c.listRecords(ctx, modelPrefix)
	if err != nil {
		return nil, err
	}
	infos := make([]ModelInfo, 0, len(records))
	for _, record := range records {
		infos = append(infos, record.ModelInfo)
	}
	return infos, nil
}

func (c *Client) listRecords(ctx context.Context, prefix string) ([]modelRecord, error) {
	objects, err := c.list(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var records []modelRecord
	for _, object := range objects {
		if isPart(object.Key) {
			continue
		}
		record, err := decodeRecord(object)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// WithdrawModel marks a version as withdrawn, so that it is no longer placed. VMs that
// serve it keep serving it until the configuration names another version.
func (c *Client) WithdrawModel(ctx context.Context, model, version string) error {
	for retries := c.newRetryLoop(); ; {
		object, err := c.get(ctx, modelKey(model, version))
		if errors.Is(err, platform.ErrNotFound) {
			return errkind.New(errkind.NotFound, "list the published versions", "model %q has no version %q", model, version)
		}
		if err != nil {
			return err
		}
		record, err := decodeRecord(object)
		if err != nil || record.State == ModelWithdrawn {
			return err
		}
		record.State = ModelWithdrawn
		value, err := json.Marshal(record)
		if err != nil {
			return fmt.Errorf("encode model record: %w", err)
		}
		_, err = c.store.Update(ctx, object.Key, value, object.Version)
		if err == nil {
			return nil
		}
		if err := retries.waitAfterConflict(ctx, err); err != nil {
			return fmt.Errorf("withdraw version %q of model %q: %w", version, model, err)
		}
	}
}

// checkVersions returns a *config.InvalidError that names every model whose version is
// not published or was withdrawn.
func (c *Client) checkVersions(ctx context.Context, snapshot *config.Snapshot) error {
	var problems []config.Problem
	for _, name := range slices.Sorted(maps.Keys(snapshot.Models)) {
		version := snapshot.Models[name].Version
		record, err := c.readRecord(ctx, name, version)
		if err != nil && !errkind.Is(err, errkind.NotFound) {
			return err
		}
		if err == nil && record.State == ModelPublished {
			continue
		}
		text := "is not published"
		if err == nil {
			text = "was withdrawn"
		}
		path := "models." + name + ".version"
		origin, _ := snapshot.Origin(path)
		problems = append(problems, config.Problem{
			Kind: config.ProblemUnknownName, File: origin.File, Line: origin.Line, Column: origin.Column, Key: path,
			Text:   fmt.Sprintf("version %q of model %q %s", version, name, text),
			Remedy: "publish the version first, or name one that laburnumctl model list shows",
		})
	}
	if len(problems) > 0 {
		return &config.InvalidError{Problems: problems}
	}
	return nil
}
