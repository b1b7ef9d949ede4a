package wire

import "github.com/magnoliamount/magnoliamount/internal/fault"

// EndpointsFrame returns a frame that carries an encoded batch of endpoints.
func EndpointsFrame(batch []byte) *Frame {
	return &Frame{Body: &Frame_Endpoints{Endpoints: &Endpoints{Batch: batch}}}
}

// BatchOf returns the encoded batch of endpoints. It fails with fault.Protocol
// if there is none.
func BatchOf(body *Endpoints) ([]byte, error) {
	if len(body.GetBatch()) == 0 {
		return nil, fault.New(fault.Protocol, "endpoints without a batch")
	}
	return body.GetBatch(), nil
}
