package configstore

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"lukechampine.com/blake3"

	v1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/config"
	"laburnumgw/lib/errkind"
)

const (
	// MaxBundleBytes bounds an encoded bundle.
	MaxBundleBytes = 64 << 20
	// maxBundleModels and maxBundlePlacements bound the lists of a bundle.
	maxBundleModels     = 1000
	maxBundlePlacements = 1000
	// maxAssignments bounds the VMs of one placement.
	maxAssignments = 100000
	maxVMNameBytes = 255
)

// Bundle is one accepted configuration with the model versions and placements that
// belong to it. It is shared between goroutines and must not be modified.
type Bundle struct {
	Generation uint64
	// Digest covers the generation and all content.
	Digest     string
	Files      []config.File
	Models     []*v1.ModelVersion
	Placements []*v1.Placement
}

// NewBundle sorts the content and computes its digest.
func NewBundle(generation uint64, files []config.File, models []*v1.ModelVersion, placements []*v1.Placement) *Bundle {
	b := &Bundle{Generation: generation, Files: slices.Clone(files), Models: slices.Clone(models), Placements: slices.Clone(placements)}
	config.SortFiles(b.Files)
	slices.SortFunc(b.Models, compareModels)
	slices.SortFunc(b.Placements, comparePlacements)
	b.Digest = b.digest()
	return b
}

func compareModels(a, b *v1.ModelVersion) int {
	return cmp.Or(strings.Compare(a.GetModel(), b.GetModel()), strings.Compare(a.GetVersion(), b.GetVersion()))
}

func comparePlacements(a, b *v1.Placement) int { return strings.Compare(a.GetModel(), b.GetModel()) }

// Snapshot parses the files of the bundle.
func (b *Bundle) Snapshot() (*config.Snapshot, error) { return config.Parse(b.Files) }

// Model returns a model version of the bundle, or nil when the bundle lacks it.
func (b *Bundle) Model(model, version string) *v1.ModelVersion {
	for _, m := range b.Models {
		if m.GetModel() == model && m.GetVersion() == version {
			return m
		}
	}
	return nil
}

// canonicalHash hashes byte strings and lists with their lengths, so that different
// contents never give the same hash input. The digest is not computed from the protobuf
// encoding, because that is not the same in all releases of the library.
type canonicalHash struct{ hash hash.Hash }

func (c canonicalHash) writeUint(n uint64) {
	var buffer [binary.MaxVarintLen64]byte
	_, _ = c.hash.Write(binary.AppendUvarint(buffer[:0], n))
}

func (c canonicalHash) writeBytes(b []byte) {
	c.writeUint(uint64(len(b)))
	_, _ = c.hash.Write(b)
}

func (c canonicalHash) writeString(s string) { c.writeBytes([]byte(s)) }

func (b *Bundle) digest() string {
	c := canonicalHash{hash: blake3.New(digestBytes, nil)}
	c.writeUint(b.Generation)
	c.writeUint(uint64(len(b.Files)))
	for _, file := range b.Files {
		c.writeString(file.Name)
		c.writeBytes(file.Content)
	}
	c.writeUint(uint64(len(b.Models)))
	for _, m := range b.Models {
		c.writeString(m.GetModel())
		c.writeString(m.GetVersion())
		c.writeString(m.GetManifestDigest())
		c.writeUint(uint64(m.GetSize()))
		c.writeUint(uint64(m.GetChunkSize()))
		c.writeUint(uint64(len(m.GetChunkDigests())))
		for _, chunk := range m.GetChunkDigests() {
			c.writeBytes(chunk)
		}
	}
	c.writeUint(uint64(len(b.Placements)))
	for _, p := range b.Placements {
		c.writeString(p.GetModel())
		c.writeUint(p.GetFencing())
		c.writeUint(p.GetGeneration())
		c.writeUint(uint64(len(p.GetAssignments())))
		for _, a := range p.GetAssignments() {
			c.writeString(a.GetVm())
			c.writeString(a.GetVersionDigest())
			c.writeUint(uint64(a.GetWave()))
		}
	}
	return hex.EncodeToString(c.hash.Sum(nil))
}

// Proto returns the message that processes exchange.
func (b *Bundle) Proto() *v1.ConfigBundle {
	message := &v1.ConfigBundle{Generation: b.Generation, Digest: b.Digest, Models: b.Models, Placements: b.Placements}
	for _, file := range b.Files {
		message.Files = append(message.Files, &v1.ConfigFile{Name: file.Name, Digest: Digest(file.Content), Content: file.Content})
	}
	return message
}

// Encode returns the bundle in protobuf encoding.
func (b *Bundle) Encode() ([]byte, error) {
	data, err := proto.Marshal(b.Proto())
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "report this error", "encode bundle")
	}
	if len(data) > MaxBundleBytes {
		return nil, errkind.New(errkind.TooLarge, "remove files or models that are no longer used",
			"the bundle has %d bytes, at most %d are allowed", len(data), MaxBundleBytes)
	}
	return data, nil
}

// Decode decodes and checks a bundle that Encode encoded.
func Decode(data []byte) (*Bundle, error) {
	if len(data) > MaxBundleBytes {
		return nil, errkind.New(errkind.TooLarge, "ask another process for the bundle",
			"the bundle has %d bytes, at most %d are allowed", len(data), MaxBundleBytes)
	}
	message := &v1.ConfigBundle{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, errkind.Wrap(err, errkind.Corrupt, "ask another process for the bundle", "decode bundle")
	}
	return FromProto(message)
}

// FromProto checks a received message and returns its bundle. It does not parse the
// configuration files.
func FromProto(message *v1.ConfigBundle) (*Bundle, error) {
	b := &Bundle{
		Generation: message.GetGeneration(), Digest: message.GetDigest(),
		Models: message.GetModels(), Placements: message.GetPlacements(),
	}
	if b.Generation == 0 {
		return nil, corruptBundle("it has no generation")
	}
	if err := b.decodeFiles(message.GetFiles()); err != nil {
		return nil, err
	}
	if err := b.checkModels(); err != nil {
		return nil, err
	}
	if err := b.checkPlacements(); err != nil {
		return nil, err
	}
	if b.digest() != b.Digest {
		return nil, corruptBundle("its content does not match its digest")
	}
	return b, nil
}

func corruptBundle(problem string) error {
	return errkind.New(errkind.Corrupt, "ask another process for the bundle", "the bundle is refused: %s", problem)
}

func (b *Bundle) decodeFiles(files []*v1.ConfigFile) error {
	if len(files) > config.MaxFiles {
		return corruptBundle("it has too many files")
	}
	total := 0
	for i, file := range files {
		total += len(file.GetContent())
		switch {
		case !config.ValidFileName(file.GetName()):
			return corruptBundle("it has an invalid file name")
		case i > 0 && files[i-1].GetName() >= file.GetName():
			return corruptBundle("its files are not in order")
		case len(file.GetContent()) > config.MaxFileBytes || total > config.MaxTotalBytes:
			return corruptBundle("its files are too large")
		case Digest(file.GetContent()) != file.GetDigest():
			return corruptBundle("a file does not match its digest")
		}
		b.Files = append(b.Files, config.File{Name: file.GetName(), Content: file.GetContent()})
	}
	return nil
}

func (b *Bundle) checkModels() error {
	if len(b.Models) > maxBundleModels {
		return corruptBundle("it has too many models")
	}
	for i, m := range b.Models {
		if err := checkModel(m); err != nil {
			return errkind.Wrap(err, errkind.Corrupt, "ask another process for the bundle", "the bundle is refused")
		}
		if i > 0 && compareModels(b.Models[i-1], m) >= 0 {
			return corruptBundle("its models are not in order")
		}
	}
	return nil
}

func (b *Bundle) checkPlacements() error {
	if len(b.Placements) > maxBundlePlacements {
		return corruptBundle("it has too many placements")
	}
	for i, p := range b.Placements {
		if i > 0 && comparePlacements(b.Placements[i-1], p) >= 0 {
			return corruptBundle("its placements are not in order")
		}
		if err := checkPlacement(p); err != nil {
			return err
		}
	}
	return nil
}

func checkPlacement(p *v1.Placement) error {
	if !config.ValidName(p.GetModel()) || len(p.GetAssignments()) > maxAssignments {
		return corruptBundle("a placement has an invalid model or too many assignments")
	}
	for i, a := range p.GetAssignments() {
		if a.GetVm() == "" || len(a.GetVm()) > maxVMNameBytes || a.GetWave() < 0 || len(a.GetVersionDigest()) != 2*digestBytes {
			return corruptBundle("a placement has an invalid assignment")
		}
		if i > 0 && p.GetAssignments()[i-1].GetVm() >= a.GetVm() {
			return corruptBundle("the assignments of a placement are not in order")
		}
	}
	return nil
}
