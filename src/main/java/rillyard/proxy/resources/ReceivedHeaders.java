package rillyard.proxy.resources;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/** A header section that a decoder fills, each field of which is charged to the account of its connection. */
public final class ReceivedHeaders extends DefaultHttpHeaders {
    private enum State {
        RECEIVED,
        IN_PROGRESS,
        RELEASED
    }

    /** Bytes of the objects of a message without its fields: the message, its header section and their table. */
    private static final long MESSAGE_BYTES = 512;

    /** Bytes of the objects of a field without its characters: entry, name, value and their arrays. */
    private static final long FIELD_BYTES = 160;

    private final HeaderMemoryAccount account;
    private State state = State.RECEIVED;
    private long chargedBytes;

    ReceivedHeaders(HeaderMemoryAccount account) {
        this.account = account;
        charge(MESSAGE_BYTES); // where the budget is exhausted, the first field ends the reception
    }

    private boolean charge(long bytes) {
        chargedBytes += bytes;
        return account.charge(bytes);
    }

    /**
     * Adds a field and charges it while the section is being received.
     *
     * @throws HeaderMemoryExhaustedException if the budget is exhausted and this connection has received the most
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (state == State.RECEIVED && !charge(FIELD_BYTES + name.length() + lengthOf(value))) {
            throw new HeaderMemoryExhaustedException();
        }
        return super.add(name, value);
    }

    private static int lengthOf(Object value) {
        return value instanceof CharSequence text ? text.length() : 0;
    }

    /** Charges the characters of the start line of the message with this header section. */
    public static void chargeStartLine(HttpHeaders headers, int characters) {
        if (headers instanceof ReceivedHeaders received) {
            received.charge(characters);
        }
    }

    /** Drops the fields of a message that is not needed any more. */
    void discard() {
        if (state == State.RECEIVED) {
            state = State.RELEASED;
            clear();
        }
    }

    /**
     * Records that the request with this header section is in progress until {@link #release}.
     *
     * @return false if the requests in progress hold too much memory
     */
    public static boolean beginProgress(HttpHeaders headers) {
        if (!(headers instanceof ReceivedHeaders received) || received.state != State.RECEIVED) {
            return true;
        }
        if (!received.account.beginProgress(received.chargedBytes)) {
            return false;
        }
        received.state = State.IN_PROGRESS;
        return true;
    }

    /** Returns the memory of a request that was in progress to the budget; does nothing on a second call. */
    public static void release(HttpHeaders headers) {
        if (headers instanceof ReceivedHeaders received && received.state == State.IN_PROGRESS) {
            received.state = State.RELEASED;
            received.account.endProgress(received.chargedBytes);
        }
    }
}
