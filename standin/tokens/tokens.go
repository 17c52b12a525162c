// Package tokens computes the output of the stand-in engine. Each token is a hash of the prompt, model version, seed and
// index, so a checker detects tokens that are missing, repeated or from another request.
//
// # Usage
//
//	want := tokens.At(prompt, version, seed, i)
package tokens

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// lengthPattern matches the directive by which a prompt sets the length of its answer.
var lengthPattern = regexp.MustCompile(`len=(\d+)`)

// At returns the token at the given index of the answer to a prompt.
func At(prompt, version string, seed uint64, index int) string {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(prompt)
	_, _ = d.WriteString("\x00" + version + "\x00" + strconv.FormatUint(seed, 10) + "\x00" + strconv.Itoa(index))
	return " " + strconv.FormatUint(d.Sum64()%1_000_000, 36)
}

// Length returns the number of tokens in the answer: N if the prompt contains len=N, but at most maxTokens.
func Length(prompt string, maxTokens int) int {
	m := lengthPattern.FindStringSubmatch(prompt)
	if m == nil {
		return maxTokens
	}
	n, err := strconv.Atoi(m[1])
	if err != nil {
		return maxTokens
	}
	return min(n, maxTokens)
}

// Answer returns the complete text of the answer to a prompt.
func Answer(prompt, version string, seed uint64, maxTokens int) string {
	var b strings.Builder
	for i := range Length(prompt, maxTokens) {
		b.WriteString(At(prompt, version, seed, i))
	}
	return b.String()
}
