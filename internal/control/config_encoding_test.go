package control

import (
	"bytes"
	"compress/flate"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/settings"
)

func TestConfigRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := configAt(7, "second")
	cfg.Drains = []settings.Drain{{Kind: settings.DrainZone, Name: "r0z0"}}
	for _, sent := range []*settings.Config{cfg, nil} {
		data, err := cbor.Marshal(Message{From: "a", Config: &Config{Value: sent}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var msg Message
		g.Expect(cbor.Unmarshal(data, &msg)).To(gomega.Succeed())
		g.Expect(msg.Config).NotTo(gomega.BeNil())
		g.Expect(msg.Config.Value).To(gomega.Equal(sent))
	}
}

// TestInvalidCompressedConfigIsRejected decodes values that a peer of another
// release, or a faulty one, might send.
func TestInvalidCompressedConfigIsRejected(t *testing.T) {
	var bomb bytes.Buffer
	w, _ := flate.NewWriter(&bomb, flate.BestCompression)
	_, _ = w.Write(make([]byte, 2*maxConfigBytes))
	_ = w.Close()
	for name, compressed := range map[string][]byte{
		"not compressed data": {0xff, 0xff, 0xff},
		"too large":           bomb.Bytes(),
		"not a configuration": {0x4b, 0x04, 0x00},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			data, err := cbor.Marshal(compressed)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var c Config
			g.Expect(cbor.Unmarshal(data, &c)).NotTo(gomega.Succeed())
		})
	}
}
