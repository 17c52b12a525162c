// Package tokens computes the answer of the stand-in engine, so that a checker finds any missing, repeated or mixed
// token.
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

// lengthPattern lets a prompt choose the length of its answer.
var lengthPattern = regexp.MustCompile(`len=(\d+)`)

// At returns the token at an index of the answer to a prompt.
func At(prompt, version string, seed uint64, index int) string {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(prompt)
	_, _ = d.WriteString("\x00" + version + "\x00" + strconv.FormatUint(seed, 10) + "\x00" + strconv.Itoa(index))
	return " " + strconv.FormatUint(d.Sum64()%1_000_000, 36)
}

// Length returns the number of tokens of the answer: what the prompt asks for by len=N, but at most maxTokens.
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

// Answer returns the whole text.
func Answer(prompt, version string, seed uint64, maxTokens int) string {
	var b strings.Builder
	for i := range Length(prompt, maxTokens) {
		b.WriteString(At(prompt, version, seed, i))
	}
	return b.String()
}
