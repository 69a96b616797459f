//go:build tools

// Package tools imports packages so that go mod tidy keeps their module requirements.
package tools

import (
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/uuid"
	_ "github.com/panjf2000/ants/v2"
	_ "github.com/phuslu/log"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/twitchtv/twirp"
	_ "github.com/urfave/cli/v3"
	_ "github.com/valyala/fasthttp"
	_ "github.com/zeebo/xxh3"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
