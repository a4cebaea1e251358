// Package fieldlinetest holds field lines for tests of clients that must reject invalid ones.
package fieldlinetest

// Invalid holds lines that make a response head invalid, by what is wrong with them. They follow a
// valid field line.
var Invalid = map[string]string{
	"blank in a name":         "Odd Name: 1\r\n",
	"blank after a name":      "Odd : 1\r\n",
	"length after a blank":    "Content-Length : 2\r\n",
	"chunked before a blank":  "Transfer-Encoding : chunked\r\n",
	"continued with a blank":  " continued\r\n",
	"continued with a tab":    "\tContent-Length: 2\r\n",
	"continued with nothing":  " \r\n",
	"tab in a name":           "Odd\tName: 1\r\n",
	"null in a name":          "Odd\x00Name: 1\r\n",
	"escape in a name":        "\x1bOdd: 1\r\n",
	"delete in a name":        "Odd\x7f: 1\r\n",
	"carriage return in name": "Odd\rName: 1\r\n",
	"carriage return at line": "\rOdd: 1\r\n",
	"separator in a name":     "Odd(Name): 1\r\n",
	"high byte in a name":     "Odd\xe9: 1\r\n",
	"no name":                 ": 1\r\n",
	"no colon":                "Odd\r\n",
}

// Unusual holds valid field lines with all kinds of bytes that names and values may have.
const Unusual = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz: 1\r\n" +
	"Unusual-High: caf\xc3\xa9 \x80\xff\r\n" +
	"Unusual-Empty:\r\n" +
	"Unusual-Blanks: \t \r\n" +
	"Unusual-Inner:a\tb : c: (\"d\")\r\n" +
	"Unusual-Feed: 1\n"

// UnusualValues holds the values of the lines in Unusual, by name.
var UnusualValues = map[string]string{
	"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz": "1",
	"Unusual-High":   "caf\xc3\xa9 \x80\xff",
	"Unusual-Empty":  "",
	"Unusual-Blanks": "",
	"Unusual-Inner":  "a\tb : c: (\"d\")",
	"Unusual-Feed":   "1",
}
