//go:build tools

// Package tools keeps the versions of libraries that planned packages use.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/wire"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/smartystreets/goconvey/convey"
	_ "github.com/urfave/negroni/v3"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "lukechampine.com/blake3"
	_ "pgregory.net/rapid"
)
