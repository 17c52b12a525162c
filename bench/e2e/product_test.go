package e2e_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/core/settings"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/standin/tokens"
)

// authority signs the certificates of a test site.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	der  []byte
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	return &authority{key, cert, der}
}

// issue writes a new certificate for all processes and its key to a directory.
func (a *authority) issue(dir string) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{rpc.PeerName}, NotBefore: a.cert.NotBefore, NotAfter: a.cert.NotAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	for name, block := range map[string]*pem.Block{
		"ca.pem": {Type: "CERTIFICATE", Bytes: a.der}, "cert.pem": {Type: "CERTIFICATE", Bytes: der}, "key.pem": {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		Expect(os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600)).To(Succeed())
	}
	return settings.TLS{CertFile: dir + "/cert.pem", KeyFile: dir + "/key.pem", CAFile: dir + "/ca.pem"}
}

var _ = Describe("the product", func() {
	It("serves an unmodified OpenAI client library", func() {
		s := newSite(siteOptions{routers: 1, engines: 2, cadence: 5 * time.Millisecond})
		ctx := context.Background()
		client := openai.NewClient(option.WithBaseURL(s.routers[0]+"/v1"), option.WithAPIKey("growers.key"))
		models, err := client.Models.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Data).To(HaveLen(1))
		params := openai.ChatCompletionNewParams{
			Model: model, Seed: openai.Int(5), MaxCompletionTokens: openai.Int(30),
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("summarise lot 7")},
		}
		want := tokens.Answer("user: summarise lot 7\n", "1", 5, 30)
		completion, err := client.Chat.Completions.New(ctx, params)
		Expect(err).NotTo(HaveOccurred())
		Expect(completion.Choices[0].Message.Content).To(Equal(want))
		stream := client.Chat.Completions.NewStreaming(ctx, params)
		var got strings.Builder
		for stream.Next() {
			for _, c := range stream.Current().Choices {
				got.WriteString(c.Delta.Content)
			}
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(got.String()).To(Equal(want))
		params.Model = "unknown"
		_, err = client.Chat.Completions.New(ctx, params)
		var refusal *openai.Error
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Code).To(Equal("unknown_model"))
	})

	It("uses TLS between its processes, rejects peers without a valid certificate, and loads replaced certificate files", func() {
		ca, dir := newAuthority(), GinkgoT().TempDir()
		ca.issue(dir)
		s := newSite(siteOptions{routers: 2, engines: 2, cadence: 5 * time.Millisecond, tls: dir})
		expectComplete(s.startStreams(4, 50, "tls")())
		for _, t := range []settings.TLS{{}, newAuthority().issue(GinkgoT().TempDir())} {
			dialer, err := rpc.NewDialer(t)
			Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			_, err = wire.NewDRPCAgentClient(dialer.Conn(s.processes["model-0"].listen)).Order(ctx, &wire.OrderRequest{Fence: 1 << 40, Action: "unload", Model: model, Version: "1"})
			Expect(err).To(HaveOccurred())
			cancel()
		}
		ca.issue(dir)
		s.processes["model-1"].kill()
		s.restart("model-1", "agent")
		expectComplete(s.startStreams(4, 50, "renewed")())
	})

	It("logs no key and no prompt, and only numbered events", func() {
		s := newSite(siteOptions{routers: 1, engines: 2, services: 1, cadence: 5 * time.Millisecond})
		expectComplete(s.startStreams(4, 50, "secret-prompt")())
		s.client("growers", 0).Call(context.Background(), "POST", "/slips", "secret-body", "secret-key")
		s.processes["engine-0"].kill()
		s.startStreams(4, 50, "secret-prompt-two")()
		for name, p := range s.processes {
			if strings.HasPrefix(name, "engine") || strings.HasPrefix(name, "service") || name == "platform" {
				continue
			}
			p.signal(syscall.SIGTERM)
			Eventually(p.ended, maxWait).Should(BeClosed())
			for line := range strings.Lines(p.log.String()) {
				Expect(line).To(ContainSubstring(`"event":"EV`))
				Expect(line).NotTo(Or(ContainSubstring("growers.key"), ContainSubstring("lot 0"), ContainSubstring("secret-body"), ContainSubstring("secret-key")))
			}
		}
	})
})
