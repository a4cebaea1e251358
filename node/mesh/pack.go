package mesh

import (
	"bytes"
	"compress/flate"

	"github.com/gravitational/trace"

	"masticbank.example/node/bounded"
)

// maxConfigBytes bounds a configuration that a peer sends, when unpacked. The store's
// records are smaller.
const maxConfigBytes = 8 << 20

// pack compresses a configuration. Many routes that look alike shrink to a tenth, which
// counts on the links of small machines when all instances fetch it from a few.
func pack(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := w.Write(content); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return b.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	content, err := bounded.ReadAll(r, maxConfigBytes)
	return content, trace.Wrap(err)
}
