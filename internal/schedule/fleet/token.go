package fleet

// A fencing token orders the owners of a cell, and the restarts of workers that one owner
// learns of: the epoch of the ownership in the upper bits, a count of restarts in the
// lower ones. Tokens stay below 1<<53, so that JSON keeps them, for epochs below 1<<33.
const restartBits = 20

// MaxRestarts is the highest count of restarts in a token.
const MaxRestarts = 1<<restartBits - 1

// NewToken returns the token of an owner that has learned of a number of restarts.
func NewToken(epoch, restarts int64) int64 { return epoch<<restartBits | restarts }

// TokenEpoch returns the epoch of the owner that gave an order with this token.
func TokenEpoch(token int64) int64 { return token >> restartBits }
