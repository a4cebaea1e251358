package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies the content of a request to a model, independent of the sender, or a part of
// prompts that several requests share.
type Fingerprint [16]byte

// String returns the fingerprint in lower-case hex.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// FingerprintOf returns the first 128 bits of the SHA-256 of model, prompt and parameters,
// each preceded by its length. Parameters must be in a fixed order and include everything
// that the upstream receives, but nothing that identifies the client.
func FingerprintOf(model, prompt string, parameters ...string) Fingerprint {
	h := sha256.New()
	var length [8]byte
	write := func(s string) {
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(s))
	}
	write(model)
	write(prompt)
	for _, p := range parameters {
		write(p)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// partSuffix ends the fingerprint of each part.
const partSuffix = "part"

// FingerprintOfPart returns the fingerprint of a part of prompts, which is the same in the requests of
// all clients.
func FingerprintOfPart(service, id string) Fingerprint {
	f := FingerprintOf(service, id)
	copy(f[len(f)-len(partSuffix):], partSuffix)
	return f
}

// IsPart reports whether the fingerprint is that of a part.
func (f Fingerprint) IsPart() bool { return string(f[len(f)-len(partSuffix):]) == partSuffix }

// FingerprintFrom converts bytes to a Fingerprint. It returns false if their number is
// wrong.
func FingerprintFrom(b []byte) (Fingerprint, bool) {
	var f Fingerprint
	if len(b) != len(f) {
		return f, false
	}
	copy(f[:], b)
	return f, true
}
