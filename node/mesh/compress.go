package mesh

import (
	"bytes"
	"compress/flate"

	"github.com/gravitational/trace"

	"masticbank.example/node/bounded"
)

// maxConfigBytes limits the decompressed size of a configuration that a peer sends. The
// store's records are smaller.
const maxConfigBytes = 8 << 20

// compress compresses a configuration. Many similar routes compress to a tenth of their
// size, which matters on the links of small instances when all instances fetch the
// configuration from a few.
func compress(content []byte) ([]byte, error) {
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

// decompress decompresses a configuration of up to maxConfigBytes.
func decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	content, err := bounded.ReadAll(r, maxConfigBytes)
	return content, trace.Wrap(err)
}
