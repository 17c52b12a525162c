package explain_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/explain"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/testkit"
)

func TestExplain(t *testing.T) { testkit.Run(t, "explain") }

var _ = Describe("a question", func() {
	read := func(body string) (explain.Query, error) { return explain.ReadQuery(strings.NewReader(body)) }

	It("asks about a GET request unless it says otherwise", func() {
		q, err := read(`{"host":"h","path":"/a","key":"k","prompt_tokens":5,"parts":["a","b"]}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(q.Method).To(Equal("GET"))
		Expect(q.Key).To(Equal("k"))
		Expect(q.PromptTokens).To(Equal(5))
	})
	It("contains the key only outside of what the answer repeats", func() {
		q, err := read(`{"host":"h","path":"/a","key":"secret"}`)
		Expect(err).NotTo(HaveOccurred())
		repeated, err := json.Marshal(q.Request)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(repeated)).NotTo(ContainSubstring("secret"))
	})
	DescribeTable("is refused if it is not valid", func(body string) {
		_, err := read(body)
		Expect(fault.CodeOf(err)).To(Equal(fault.BadRequest))
	},
		Entry("empty", ``),
		Entry("null", `null`),
		Entry("cut", `{"host":"h","path":"/a"`),
		Entry("host with a path", `{"host":"h/a","path":"/a"}`),
		Entry("method in small letters", `{"host":"h","path":"/a","method":"get"}`),
		Entry("tokens beyond any engine", `{"host":"h","path":"/a","output_tokens":9000000000}`),
		Entry("negative wait", `{"host":"h","path":"/a","max_wait_ms":-1}`),
		Entry("wrong type", `{"host":"h","path":"/a","parts":"a"}`),
		Entry("too many parts", `{"host":"h","path":"/a","parts":[""`+strings.Repeat(`,""`, 2000)+`]}`),
	)
})
