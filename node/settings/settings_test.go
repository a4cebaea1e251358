package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const valid = `
[instance]
id = e1
zone = quito
[platform]
instance_list = http://127.0.0.1:9000
[admin]
key = 0123456789abcdef
`

func TestParse(t *testing.T) {
	s, err := Parse("m.ini", []byte(valid))
	require.NoError(t, err)
	require.Equal(t, "quito", s.Instance.Zone)
	require.Equal(t, 60*time.Second, s.Limits.ShutdownTimeout)
}

func TestParseNamesFileSectionAndKey(t *testing.T) {
	cases := []struct{ add, want string }{
		{"[listen]\nport = 1\n", `m.ini: section [listen] key "port": unknown key`},
		{"[lisetn]\ncallers = 1\n", `m.ini: section [lisetn] key "callers": unknown section`},
		{"[listen]\ncallers = localhost:80\n", `m.ini: section [listen] key "callers": "localhost:80" is not an IP address and port`},
		{"[listen]\ncallers = 127.0.0.1:1\nadmin = 127.0.0.1:1\n", `m.ini: section [listen] key "admin": address 127.0.0.1:1 is already used by key "callers"`},
		{"[listen]\npeers = 127.0.0.1:1\n", `m.ini: section [peers] key "key": must have at least 16 characters when listen.peers is set`},
		{"[limits]\nmax_requests = 0\n", `m.ini: section [limits] key "max_requests": "0" is not a positive number`},
		{"[instance]\nzone = \n", `m.ini: section [instance] key "zone": is required`},
	}
	for _, tc := range cases {
		_, err := Parse("m.ini", []byte(valid+tc.add))
		require.EqualError(t, err, tc.want)
	}
}

// TestEmptySettingStandsForZero guards against a limit or an address that is none, since the file has its
// key without a value.
func TestEmptySettingStandsForZero(t *testing.T) {
	defaults, err := Parse("m.ini", []byte(valid))
	require.NoError(t, err)
	for _, d := range settingSpecs {
		if d.required {
			continue
		}
		s, err := Parse("m.ini", []byte(valid+"["+d.section+"]\n"+d.key+" =\n"))
		if d.defaultValue != "" {
			require.ErrorContains(t, err, `section [`+d.section+`] key "`+d.key+`": must not be empty`)
			continue
		}
		require.NoError(t, err, "%s.%s", d.section, d.key)
		require.Equal(t, defaults, s, "%s.%s: empty is the default", d.section, d.key)
	}
}
