package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/httpstatus"
	"laburnumgw/lib/transfer"
	"laburnumgw/lib/weights"
)

// defaultRateLimitWait applies when a 429 response has no usable Retry-After.
const defaultRateLimitWait = time.Second

// originClient reads chunks from the weight store by byte range.
type originClient struct {
	base string
	http *httpstatus.Client
	link *rate.Limiter
}

func newOriginClient(base string, link *rate.Limiter) *originClient {
	return &originClient{base: base, http: httpstatus.NewClient(http.DefaultTransport), link: link}
}

// Chunk implements transfer.Origin: it returns the bytes that the store has at the
// offset of a chunk, without verifying them.
func (o *originClient) Chunk(ctx context.Context, m *weights.Manifest, index int, progress func()) ([]byte, error) {
	target := fmt.Sprintf("%s/v1/weights/%s/%s", o.base, url.PathEscape(m.Model), url.PathEscape(m.Version))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("build weight request: %w", err)
	}
	start := int64(index) * m.ChunkSize
	length := m.ChunkLen(index)
	request.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", start, start+length-1))
	response, err := o.http.Do(request)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "check the weight store", "weight store does not respond")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusPartialContent, http.StatusOK:
	case http.StatusTooManyRequests:
		return nil, &transfer.RateLimitedError{RetryAfter: retryAfter(response.Header)}
	default:
		return nil, errkind.New(errkind.Unavailable, "check that the version is in the weight store",
			"weight store responded with status %d", response.StatusCode)
	}
	if err := checkStart(response, start); err != nil {
		return nil, err
	}
	return readLimited(ctx, response.Body, length, o.link, progress)
}

// checkStart returns an error unless the body of a response begins at an offset of the content. Without a Content-Range, the
// digest of the chunk shows whether it does.
func checkStart(response *http.Response, want int64) error {
	var got int64
	if response.StatusCode == http.StatusPartialContent {
		stated := response.Header.Get("Content-Range")
		if stated == "" {
			return nil
		}
		if _, err := fmt.Sscanf(stated, "bytes %d-", &got); err != nil {
			return errkind.New(errkind.Unavailable, "check the weight store",
				"weight store sent a part with the Content-Range %q, bytes from %d on were asked for", stated, want)
		}
	}
	if got != want {
		return errkind.New(errkind.Unavailable, "check that the weight store supports Range",
			"weight store sent bytes from %d on with status %d, those from %d on were asked for", got, response.StatusCode, want)
	}
	return nil
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRateLimitWait
	}
	return time.Duration(seconds) * time.Second
}

var errTruncatedChunk = errors.New("chunk truncated")

// readLimited reads exactly length bytes at the rate of the link's share.
func readLimited(ctx context.Context, r io.Reader, length int64, link *rate.Limiter, progress func()) ([]byte, error) {
	data := make([]byte, length)
	for start := int64(0); start < length; start += transfer.PieceBytes {
		part := data[start:min(length, start+transfer.PieceBytes)]
		if err := link.WaitN(ctx, len(part)); err != nil {
			return nil, fmt.Errorf("wait for the link: %w", err)
		}
		if _, err := io.ReadFull(r, part); err != nil {
			return nil, fmt.Errorf("%w: %w", errTruncatedChunk, err)
		}
		progress()
	}
	return data, nil
}
