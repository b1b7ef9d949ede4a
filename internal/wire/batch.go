package wire

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// batchField is the number of the field of Endpoints that holds the batch. It
// is written without the generated code, which does not declare it.
const batchField protowire.Number = 4

// EndpointsFrame returns a frame that carries an encoded batch of endpoints.
func EndpointsFrame(batch []byte) *Frame {
	body := &Endpoints{}
	field := protowire.AppendTag(nil, batchField, protowire.BytesType)
	body.ProtoReflect().SetUnknown(protowire.AppendBytes(field, batch))
	return &Frame{Body: &Frame_Endpoints{Endpoints: body}}
}

// BatchOf returns the encoded batch of endpoints. It fails with fault.Protocol
// if there is none.
func BatchOf(body *Endpoints) ([]byte, error) {
	rest := []byte(body.ProtoReflect().GetUnknown())
	for len(rest) > 0 {
		number, kind, n := protowire.ConsumeTag(rest)
		if n < 0 {
			break
		}
		rest = rest[n:]
		if number == batchField && kind == protowire.BytesType {
			if batch, n := protowire.ConsumeBytes(rest); n >= 0 {
				return batch, nil
			}
			break
		}
		if n = protowire.ConsumeFieldValue(number, kind, rest); n < 0 {
			break
		}
		rest = rest[n:]
	}
	return nil, fault.New(fault.Protocol, "endpoints without a batch")
}
