// Package fieldlinetest helps to test that clients reject invalid field lines and accept unusual ones.
package fieldlinetest

// Invalid holds invalid field lines by their fault. In a response they must follow a valid field line.
var Invalid = map[string]string{
	"space in the name":                  "Odd Name: 1\r\n",
	"space before the colon":             "Odd : 1\r\n",
	"space before the colon of a length": "Content-Length : 2\r\n",
	"space before the colon of a coding": "Transfer-Encoding : chunked\r\n",
	"obs-fold with a space":              " folded\r\n",
	"obs-fold with a tab":                "\tContent-Length: 2\r\n",
	"obs-fold without a value":           " \r\n",
	"tab in the name":                    "Odd\tName: 1\r\n",
	"NUL in the name":                    "Odd\x00Name: 1\r\n",
	"ESC in the name":                    "\x1bOdd: 1\r\n",
	"DEL in the name":                    "Odd\x7f: 1\r\n",
	"CR in the name":                     "Odd\rName: 1\r\n",
	"CR before the name":                 "\rOdd: 1\r\n",
	"delimiter in the name":              "Odd(Name): 1\r\n",
	"byte over 127 in the name":          "Odd\xe9: 1\r\n",
	"no name":                            ": 1\r\n",
	"no colon":                           "Odd\r\n",
}

// Unusual holds valid field lines with every byte of a token in a name, values with bytes over 127 and inner
// whitespace, empty values, and a line that ends with LF only.
const Unusual = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz: 1\r\n" +
	"Unusual-High: caf\xc3\xa9 \x80\xff\r\n" +
	"Unusual-Empty:\r\n" +
	"Unusual-Space: \t \r\n" +
	"Unusual-Inner:a\tb : c: (\"d\")\r\n" +
	"Unusual-LF: 1\n"

// UnusualValues holds the values of the lines in Unusual, by name.
var UnusualValues = map[string]string{
	"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz": "1",
	"Unusual-High":  "caf\xc3\xa9 \x80\xff",
	"Unusual-Empty": "",
	"Unusual-Space": "",
	"Unusual-Inner": "a\tb : c: (\"d\")",
	"Unusual-LF":    "1",
}
