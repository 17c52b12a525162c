package rpc

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/settings"
)

// pemOf returns a new self-signed certificate and its key.
func pemOf(serial int64) (cert, key []byte) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &k.PublicKey, k)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(k)
	Expect(err).NotTo(HaveOccurred())
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
}

var _ = Describe("a certificate and its key", func() {
	It("are reloaded when either file changes, and kept while the two do not match", func() {
		dir := GinkgoT().TempDir()
		files := settings.TLS{CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key")}
		changed := time.Now()
		write := func(path string, body []byte) {
			changed = changed.Add(time.Second)
			Expect(os.WriteFile(path, body, 0o600)).To(Succeed())
			Expect(os.Chtimes(path, changed, changed)).To(Succeed())
		}
		pair := &keyPair{files: files}
		serial := func() int64 {
			cert, err := pair.load()
			Expect(err).NotTo(HaveOccurred())
			leaf, err := x509.ParseCertificate(cert.Certificate[0])
			Expect(err).NotTo(HaveOccurred())
			return leaf.SerialNumber.Int64()
		}
		cert, key := pemOf(1)
		write(files.CertFile, cert)
		write(files.KeyFile, key)
		Expect(serial()).To(BeEquivalentTo(1))
		cert, key = pemOf(2)
		write(files.KeyFile, key)
		Expect(serial()).To(BeEquivalentTo(1))
		write(files.CertFile, cert)
		Expect(serial()).To(BeEquivalentTo(2))
		before, _ := pair.load()
		write(files.KeyFile, key)
		after, _ := pair.load()
		Expect(after).NotTo(BeIdenticalTo(before), "the key file alone has changed")
		again, _ := pair.load()
		Expect(again).To(BeIdenticalTo(after))
	})
})
