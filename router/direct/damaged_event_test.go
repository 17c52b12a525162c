package direct

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sends sends a text as a whole answer with chunks.
func sends(body string) respondFunc {
	return func(w net.Conn, r *http.Request) {
		signedHead("Transfer-Encoding: chunked\r\n")(w, r)
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
}

// dataLines returns the data of a stream as a client reads them.
func dataLines(stream string) []string {
	var out []string
	for _, line := range strings.Split(stream, "\n") {
		if v, found := strings.CutPrefix(line, "data: "); found {
			out = append(out, v)
		}
	}
	return out
}

// Guards against a stream that ends as complete with a piece missing or twice because an upstream has sent a wrong byte between the pieces.
var _ = Describe("a stream with a wrong byte in the lines of an event", func() {
	DescribeTable("is complete with each event once",
		func(right, wrong string) {
			r := newTestRouter(0)
			spoiled := strings.Replace(wholeStream, right, wrong, 1)
			Expect(spoiled).NotTo(Equal(wholeStream))
			r.newRawPool(inTurn(sends(spoiled), streamed(0)))
			got := r.send(http.MethodPost, "/digest/a")
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.whole).To(BeTrue())
			Expect(dataLines(got.body)).To(Equal(dataLines(wholeStream)), "%q", got.body)
		},
		Entry("the number of the first ID", "id: 1", "id: 9"),
		Entry("the number of an ID", "id: 3", "id: 9"),
		Entry("the name of the first ID", "id: 1", "iD: 1"),
		Entry("the name of an ID", "id: 2", "iD: 2"),
		Entry("the name of the last ID", "id: 4", "iD: 4"),
		Entry("the colon of an ID", "id: 2", "idx 2"),
		Entry("the name of data", "data: 2", "dat: 2"),
		Entry("the name of the last data", "data: 4", "dAta: 4"),
		Entry("the line between two events", "data: 2\n\n", "data: 2\nx"),
		Entry("the line between the last two events", "data: 3\n\n", "data: 3\nx"),
		Entry("the end of the line of an ID", "id: 2\n", "id: 2x"),
		Entry("the end of the line of the last ID", "id: 4\n", "id: 4x"),
	)
	DescribeTable("is cut if no run of it is sound",
		func(right, wrong string) {
			cut := newTestRouter(0)
			cut.register("pool", newRawUpstream(func(w net.Conn, req *http.Request) {
				last, _ := strconv.Atoi(req.Header.Get("Last-Event"))
				rest := ""
				for n := last + 1; n <= 4; n++ {
					rest += eventText(n)
				}
				sends(strings.Replace(rest, right, wrong, 1))(w, req)
			}))
			got := cut.send(http.MethodPost, "/digest/a")
			Expect(got.status == http.StatusOK && got.whole).To(BeFalse(), "%q", got.body)
		},
		Entry("the number of an ID", "id: 3", "id: 9"),
		Entry("the line between two events", "data: 2\n\n", "data: 2\nx"),
		Entry("the end of the line of the last ID", "id: 4\n", "id: 4x"),
	)
})
