package wire

// Kind is the type of the message in an Envelope's body.
type Kind uint8

// Kinds of messages. Values are part of the protocol and are never reused.
const (
	KindHello            Kind = 1
	KindPing             Kind = 2
	KindPong             Kind = 3
	KindLeafRequest      Kind = 4
	KindLeafReply        Kind = 5
	KindCancel           Kind = 6
	KindSubmit           Kind = 7
	KindSubmitAnswer     Kind = 8
	KindLeaseRequest     Kind = 9
	KindLeaseAck         Kind = 10
	KindConfigOffer      Kind = 11
	KindConfigFetch      Kind = 12
	KindConfigPush       Kind = 13
	KindLossReport       Kind = 14
	KindError            Kind = 15
	KindVMView           Kind = 16
	KindLeafStatus       Kind = 17
	KindBeginSubmit      Kind = 18
	KindHeartbeat        Kind = 19
	KindEvictions        Kind = 20
	KindConfirm          Kind = 21
	KindLeafStatusResync Kind = 22
	KindFeedRequest      Kind = 23
	KindFeedAnswer       Kind = 24
	KindLeafSpeeds       Kind = 25
	KindQuery            Kind = 26
	KindQueryAnswer      Kind = 27
)
