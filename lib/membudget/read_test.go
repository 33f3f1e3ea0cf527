package membudget

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a body that is read in part or wrongly, whose memory is not counted, or that takes more than it may.
func TestBodiesAreReadWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("0123456789abcdef "), rapid.IntRange(0, 20000).Draw(t, "words"))
		length := int64(len(body))
		limit := rapid.Int64Range(0, 400_000).Draw(t, "limit")
		first := rapid.SampledFrom([]int64{FirstBytes, length, 0}).Draw(t, "first")
		b := New(rapid.Int64Range(0, 2<<20).Draw(t, "budget"))
		var reader io.Reader = bytes.NewReader(body)
		if rapid.Bool().Draw(t, "data with the end") {
			reader = iotest.DataErrReader(reader)
		}
		if rapid.Bool().Draw(t, "in parts") {
			reader = iotest.HalfReader(reader)
		}
		a := b.Open()
		data, held, err := a.ReadAll(reader, first, limit)
		var exceeded *ExceededError
		switch {
		case err == nil:
			if !bytes.Equal(data, body) || held < length || length > limit {
				t.Fatalf("%d of %d bytes, %d held, limit %d", len(data), length, held, limit)
			}
			if first == length && held != length {
				t.Fatalf("%d bytes held for %d", held, length)
			}
		case errors.Is(err, ErrTooLarge):
			if length <= limit {
				t.Fatalf("%d bytes: %v", length, err)
			}
		case !errors.As(err, &exceeded):
			t.Fatal(err)
		}
		if b.Held() != held {
			t.Fatalf("%d bytes held, told %d", b.Held(), held)
		}
		a.Release(held)
		if b.Held() != 0 {
			t.Fatalf("%d bytes left", b.Held())
		}
	})
}

// Guards against a body without end that takes all memory, or the part that is kept for small ones.
func TestEndlessBodiesLeaveTheReserve(t *testing.T) {
	b := New(32 << 20)
	var last error
	for range 10 {
		if _, _, err := b.Open().ReadAll(endless{}, FirstBytes, 16<<20); err != nil {
			last = err
		}
	}
	if last == nil {
		t.Error("no body was refused")
	}
	for range (3 << 20) / SmallBytes {
		if err := b.Open().Reserve(SmallBytes, SmallBytes); err != nil {
			t.Fatalf("small body: %v", err)
		}
	}
}

// Guards against a body that was read once and is copied, or a declared length that is exceeded by its buffer.
func TestBodyOfKnownLengthIsNotCopied(t *testing.T) {
	body := bytes.Repeat([]byte("b"), 1<<20)
	b := New(32 << 20)
	allocated := testing.Benchmark(func(tb *testing.B) {
		for tb.Loop() {
			a := b.Open()
			if _, _, err := a.ReadAll(bytes.NewReader(body), int64(len(body)), int64(len(body))); err != nil {
				tb.Fatal(err)
			}
			a.Close()
		}
	}).AllocedBytesPerOp()
	if allocated > int64(len(body))+4096 {
		t.Errorf("%d bytes allocated for %d", allocated, len(body))
	}
}
