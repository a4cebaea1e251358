package openai

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	c, err := Parse(KindChat, []byte(`{"model":"m","messages":[{"role":"system","content":"a"},{"role":"user","content":[{"type":"text","text":"b"}]}],"max_tokens":3,"stream":true}`))
	require.NoError(t, err)
	require.Equal(t, CompletionRequest{Kind: KindChat, Model: "m", Prompt: "system: a\nuser: b", MaxTokens: 3, Stream: true}, c)
	c, err = Parse(KindText, []byte(`{"model":"m","prompt":"p"}`))
	require.NoError(t, err)
	require.Equal(t, "p", c.Prompt)
}

func TestParseErrorsNameTheParameter(t *testing.T) {
	cases := map[string]string{
		`{`: "",
		`{"messages":[{"role":"user","content":"x"}]}`: "model",
		`{"model":"m"}`: "messages",
		`{"model":"m","messages":[{"role":"user"}]}`:                               "messages[0].content",
		`{"model":"m","messages":[{"content":"x"}]}`:                               "messages[0].role",
		`{"model":"m","messages":[{"role":"u","content":"x"}],"n":2}`:              "n",
		`{"model":"m","messages":[{"role":"u","content":"x"}],"max_tokens":0}`:     "max_tokens",
		`{"model":"m","messages":[{"role":"u","content":[{"type":"image_url"}]}]}`: "messages[0].content",
	}
	for body, param := range cases {
		_, err := Parse(KindChat, []byte(body))
		var re *RequestError
		require.ErrorAs(t, err, &re, body)
		require.Equal(t, param, re.Param, body)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(true, []byte(`{"model":"m","messages":[{"role":"u","content":"x"}]}`))
	f.Add(false, []byte(`{"model":"m","prompt":"x","max_tokens":1}`))
	f.Fuzz(func(t *testing.T, chat bool, body []byte) {
		kind := KindText
		if chat {
			kind = KindChat
		}
		c, err := Parse(kind, body)
		if err != nil {
			var re *RequestError
			require.ErrorAs(t, err, &re)
			return
		}
		require.NotEmpty(t, c.Model)
		require.NotEmpty(t, c.Prompt)
		require.GreaterOrEqual(t, c.MaxTokens, 0)
	})
}
