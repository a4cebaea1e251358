package fieldline_test

import (
	"bufio"
	"flag"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/node/fieldline"
	"masticbank.example/node/fieldline/fieldlinetest"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// readFinal reads a response and skips interim ones, as http.Transport does.
func readFinal(r *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode/100 != 1 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

// validLine matches the name and the colon of a valid field line.
var validLine = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:")

// validHeads reports whether all field lines of the heads are valid.
func validHeads(heads []string) bool {
	for _, head := range heads {
		for _, line := range strings.Split(strings.TrimSuffix(head, "\r\n\r\n"), "\r\n")[1:] {
			if !validLine.MatchString(line) {
				return false
			}
		}
	}
	return true
}

// TestScannerFindsEachInvalidLine guards against an invalid line that is missed, for example after an
// interim response or across two reads, and against a valid head or a body that is rejected. It compares
// the scanner with a regular expression.
func TestScannerFindsEachInvalidLine(t *testing.T) {
	interim := rapid.SampledFrom([]string{"100", "103", " 199", "103 Early: Hints"})
	final := rapid.SampledFrom([]string{"200", "200 O K", "101 x", "000 x", "099", "999 x", "  503 x"})
	lines := rapid.SliceOfN(rapid.StringMatching(`([A-Za-z!~-]{1,3}|[ \t\x00\x7f\r(a-c]{0,3}): ?[a-c\t ÿ]{0,3}`), 0, 3)
	rapid.Check(t, func(t *rapid.T) {
		var heads []string
		for range rapid.IntRange(0, 2).Draw(t, "interim heads") {
			heads = append(heads, interim.Draw(t, "status"))
		}
		heads = append(heads, final.Draw(t, "status"))
		for i, status := range heads {
			fields := append([]string{"HTTP/1.1 " + status, "A: 1"}, lines.Draw(t, "lines")...)
			heads[i] = strings.Join(fields, "\r\n") + "\r\n\r\n"
		}
		const body = "a\r\n not a field line\r\n\r\n: "
		var source io.Reader = strings.NewReader(strings.Join(heads, "") + body)
		if rapid.Bool().Draw(t, "one byte a read") {
			source = iotest.OneByteReader(source)
		}
		r := bufio.NewReader(fieldline.NewReader(source))
		_, err := readFinal(r)
		if !validHeads(heads) {
			if err == nil {
				t.Fatal("an invalid line was missed")
			}
			if _, err := io.ReadAll(r); err == nil {
				t.Fatal("reads succeed after an invalid line")
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		rest, err := io.ReadAll(r)
		if err != nil || string(rest) != body {
			t.Fatalf("body %q, error %v", rest, err)
		}
	})
}

// TestInvalidLineOfALaterResponse guards against a check of the first response of a connection only, and
// against an error that cannot be told from a broken connection.
func TestInvalidLineOfALaterResponse(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\n" + fieldlinetest.Unusual + "Content-Length: 2\r\n\r\n: "
	for name, line := range fieldlinetest.Invalid {
		t.Run(name, func(t *testing.T) {
			fields := fieldline.NewReader(io.MultiReader(strings.NewReader(valid),
				strings.NewReader("HTTP/1.1 200 OK\r\nA: 1\r\n"+line+"Content-Length: 0\r\n\r\n")))
			r := bufio.NewReader(fields)
			resp, err := readFinal(r)
			require.NoError(t, err)
			for name, value := range fieldlinetest.UnusualValues {
				require.Equal(t, []string{value}, resp.Header.Values(name), name)
			}
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, ": ", string(body))
			fields.ExpectResponse()
			_, err = readFinal(r)
			require.Error(t, err)
			require.ErrorIs(t, fields.Err(), fieldline.ErrInvalid)
		})
	}
}
