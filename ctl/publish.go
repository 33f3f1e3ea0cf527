package ctl

import (
	"archive/tar"
	"context"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/httpstatus"
	"laburnumgw/lib/weights"
)

// upload writes a file or a folder to the weight store and returns its manifest. It reads the
// content twice, once for the manifest and once for the upload, so that the content never has
// to fit into memory.
func upload(ctx context.Context, origin, model, version, path string, chunkBytes int64, progress func(done, total int64)) (*weights.Manifest, error) {
	source, err := openSource(path)
	if err != nil {
		return nil, err
	}
	reader, err := source()
	if err != nil {
		return nil, err
	}
	manifest, err := weights.Build(model, version, reader, chunkBytes)
	reader.Close()
	if err != nil {
		return nil, err
	}
	reader, err = source()
	if err != nil {
		return nil, err
	}
	defer reader.Close()
	counted := &countingReader{reader: reader, total: manifest.Size, progress: progress}
	if err := put(ctx, origin, model, version, counted, manifest.Size); err != nil {
		return nil, err
	}
	return manifest, nil
}

// put uploads the content of a version to the weight store.
func put(ctx context.Context, origin, model, version string, body io.Reader, size int64) error {
	target := fmt.Sprintf("%s/v1/weights/%s/%s", origin, url.PathEscape(model), url.PathEscape(version))
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, body)
	if err != nil {
		return fmt.Errorf("build upload: %w", err)
	}
	request.ContentLength = size
	response, err := httpstatus.NewClient(http.DefaultTransport).Do(request)
	if err != nil {
		return errkind.Wrap(err, errkind.Unavailable, "check --origin", "upload to the weight store failed")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errkind.New(errkind.Failed, "check the weight store", "weight store responded with status %d", response.StatusCode)
	}
	return nil
}

// countingReader counts the bytes that were read for an upload and reports them to progress.
type countingReader struct {
	reader   io.Reader
	done     int64
	total    int64
	progress func(done, total int64)
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.done += int64(n)
	if n > 0 && c.progress != nil {
		c.progress(c.done, c.total)
	}
	return n, err
}

// openSource returns a function that opens the content of a path, each time from its start.
// The content of a folder is a tar stream. Its order and headers depend only on the names and
// contents of the files, so that the same folder always gives the same version digest.
func openSource(path string) (func() (io.ReadCloser, error), error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "name a readable file or folder", "model cannot be read")
	}
	if !info.IsDir() {
		return func() (io.ReadCloser, error) { return os.Open(path) }, nil
	}
	names, err := fileNames(path)
	if err != nil {
		return nil, err
	}
	return func() (io.ReadCloser, error) {
		reader, writer := io.Pipe()
		go func() { writer.CloseWithError(writeTar(writer, path, names)) }()
		return reader, nil
	}, nil
}

// fileNames returns the sorted relative paths of the regular files below a directory.
func fileNames(dir string) ([]string, error) {
	var names []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return err
		}
		name, err := filepath.Rel(dir, path)
		names = append(names, name)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("list model folder: %w", err)
	}
	if len(names) == 0 {
		return nil, errkind.New(errkind.Invalid, "name a folder with the model's files", "folder %q holds no files", dir)
	}
	slices.Sort(names)
	return names, nil
}

func writeTar(out io.Writer, dir string, names []string) error {
	archive := tar.NewWriter(out)
	for _, name := range names {
		if err := addFile(archive, dir, name); err != nil {
			return err
		}
	}
	return archive.Close()
}

func addFile(archive *tar.Writer, dir, name string) error {
	file, err := os.Open(filepath.Join(dir, name))
	if err != nil {
		return fmt.Errorf("read model file: %w", err)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return fmt.Errorf("read size of model file: %w", err)
	}
	const mode = 0o644
	header := &tar.Header{Name: filepath.ToSlash(name), Size: info.Size(), Mode: mode, Format: tar.FormatPAX}
	if err := archive.WriteHeader(header); err != nil {
		return fmt.Errorf("write archive: %w", err)
	}
	if _, err := io.Copy(archive, file); err != nil {
		return fmt.Errorf("write archive: %w", err)
	}
	return nil
}
