//go:build tools

// Package deps keeps the module requirements of packages that are built later.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/corneldeal/corneldeal/pkg/config"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/uuid"
	_ "github.com/phuslu/log"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/urfave/cli/v3"
	_ "github.com/valyala/fasthttp"
	_ "github.com/zeebo/xxh3"
	_ "golang.org/x/sync/errgroup"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
