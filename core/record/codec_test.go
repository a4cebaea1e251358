package record_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/record"
)

func FuzzDecode(f *testing.F) {
	key := record.OrderKey{Workspace: "w", Service: "s", Key: "k"}
	for _, r := range []record.Record{
		{ID: "1", Proposal: &record.Proposal{Base: 3, Author: "ana", Content: []byte("x")}},
		{ID: "2", Snapshot: &record.Snapshot{Revision: 4, Next: 9, Winners: []record.Winner{{Revision: 4, ID: "1"}}}},
		{ID: "3", Claim: &record.Claim{Key: key, Fingerprint: "f", Claimant: "c", Expiry: time.Second}},
		{ID: "4", Outcome: &record.Outcome{Key: key, Claim: "3", Known: true}},
		{ID: "5", Release: &record.Release{Key: key, Claim: "3"}},
		{ID: "6", Lease: &record.Lease{Op: record.LeaseRenew, Task: "d", Holder: "h", Epoch: 7}},
	} {
		data, err := record.Encode(r)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := record.Decode(data)
		if err != nil {
			require.Equal(t, record.Record{}, r)
			return
		}
		again, err := record.Encode(r)
		if err != nil {
			require.ErrorIs(t, err, record.ErrMalformed)
			return
		}
		back, err := record.Decode(again)
		require.NoError(t, err)
		twice, err := record.Encode(back)
		require.NoError(t, err)
		require.Equal(t, again, twice)
	})
}

func TestDecodeRejectsInvalidRecords(t *testing.T) {
	for name, data := range map[string]string{
		"empty":        ``,
		"no body":      `{"v":1,"id":"a"}`,
		"two bodies":   `{"v":1,"id":"a","proposal":{},"snapshot":{}}`,
		"no ID":        `{"v":1,"proposal":{}}`,
		"old version":  `{"v":0,"id":"a","proposal":{}}`,
		"no key":       `{"v":1,"id":"a","release":{"claim":"c"}}`,
		"unknown op":   `{"v":1,"id":"a","lease":{"op":"x","duty":"d","holder":"h"}}`,
		"wrong number": `{"v":1,"id":"a","proposal":{"base":-1}}`,
	} {
		_, err := record.Decode([]byte(data))
		require.ErrorIs(t, err, record.ErrMalformed, name)
	}
	_, err := record.Decode([]byte(`{"v":2,"id":"a","other":{}}`))
	require.ErrorIs(t, err, record.ErrVersion)
	_, err = record.Decode(make([]byte, record.MaxSize+1))
	require.ErrorIs(t, err, record.ErrMalformed)
}
