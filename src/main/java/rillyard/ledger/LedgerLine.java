package rillyard.ledger;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** One line of a ledger: a JSON object whose field {@code k} names its kind. */
public sealed interface LedgerLine permits LedgerHead, LedgerEnd, ClientTry, Surplus, HostRun, HostNews, Told {
    /** Writes the object. */
    void write(JsonGenerator g) throws IOException;

    /**
     * The line that an object holds.
     *
     * @throws IllegalArgumentException if it is none; the message says what was expected
     */
    static LedgerLine read(JsonNode n) {
        return switch (Fields.text(n, "k")) {
            case LedgerHead.KIND -> LedgerHead.read(n);
            case LedgerEnd.KIND -> LedgerEnd.read(n);
            case ClientTry.KIND -> ClientTry.read(n);
            case Surplus.KIND -> Surplus.read(n);
            case HostRun.KIND -> HostRun.read(n);
            case HostNews.KIND -> HostNews.read(n);
            case Told.KIND -> Told.read(n);
            default ->
                throw new IllegalArgumentException(
                        "k: found " + n.path("k") + ", expected head, try, surplus, run, host, told or end");
        };
    }
}
