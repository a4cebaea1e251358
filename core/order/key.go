package order

import (
	"encoding/hex"
	"strings"
	"time"

	"masticbank.example/core/record"
)

const (
	uuidLength   = 36
	uuidGroups   = 5
	uuidVersion  = 7
	uuidTimeSize = 6
)

// KeyDate returns the timestamp in key if it is a UUID of version 7 (RFC 9562, section
// 5.7).
func KeyDate(key string) (time.Time, bool) {
	if len(key) != uuidLength || strings.Count(key, "-") != uuidGroups-1 {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != uuidLength/2-2 || raw[uuidTimeSize]>>4 != uuidVersion {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range raw[:uuidTimeSize] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// checkKey returns the reason why the key of c can't be claimed at now, or ReasonNone.
func (p Policy) checkKey(now time.Time, c Call) Reason {
	complete := c.Workspace != "" && c.Service != "" && c.Key != "" && c.Fingerprint != ""
	withinLimits := max(len(c.Workspace), len(c.Service), len(c.Fingerprint)) <= record.MaxName && len(c.Key) <= record.MaxKey
	if !complete || !withinLimits {
		return ReasonMalformed
	}
	date, ok := KeyDate(c.Key)
	if !ok {
		date = c.Date
	}
	switch {
	case date.IsZero():
		return ReasonNone
	case now.Sub(date) > p.AcceptanceWindow:
		return ReasonKeyExpired
	case date.Sub(now) > p.ClockSkew:
		return ReasonKeyFuture
	default:
		return ReasonNone
	}
}
