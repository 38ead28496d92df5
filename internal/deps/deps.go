//go:build deps

// Package deps pins the libraries that the design names until the packages
// that use them have landed.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alexflint/go-arg"
	_ "github.com/alitto/pond/v2"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/coder/websocket"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/plgd-dev/go-coap/v3/message"
	_ "github.com/plgd-dev/go-coap/v3/mux"
	_ "github.com/plgd-dev/go-coap/v3/udp"
	_ "github.com/plgd-dev/go-coap/v3/udp/coder"
	_ "github.com/rotisserie/eris"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.opentelemetry.io/otel/sdk/trace/tracetest"
	_ "go.opentelemetry.io/otel/trace"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
