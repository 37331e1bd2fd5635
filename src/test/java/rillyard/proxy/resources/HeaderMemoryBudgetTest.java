package rillyard.proxy.resources;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against header sections that are not charged, charged for ever, or released twice, and against the end of a
 * small request for the sake of a large one.
 */
class HeaderMemoryBudgetTest {
    /** Room for the objects of some messages, but not for the fields of {@link #fill}. */
    private static final long LIMIT_BYTES = 10_000;

    /** A name of the type that decoders pass. */
    private static final AsciiString NAME = AsciiString.cached("name");

    private static final int MANY_FIELDS = 60;

    private final HeaderMemoryBudget budget = new HeaderMemoryBudget(LIMIT_BYTES);
    private final List<String> ended = new ArrayList<>();

    private HeaderMemoryAccount account(String name) {
        return new HeaderMemoryAccount(budget, () -> ended.add(name));
    }

    private static HttpHeaders fill(HeaderMemoryAccount account, int fields) {
        HttpHeaders headers = account.newHeaders();
        for (int i = 0; i < fields; i++) {
            headers.add(NAME, "value");
        }
        return headers;
    }

    @Test
    void largestReceptionEndsFirst() {
        HeaderMemoryAccount large = account("large");
        fill(account("small"), 2);
        HttpHeaders dropped = fill(large, 30);
        fill(account("medium"), 20);
        assertThat(ended).containsExactly("large");
        assertThat(large.receivedBytes()).isZero();
        assertThat(dropped).as("fields, which the decoder still references").isEmpty();
        assertThat(budget.usedBytes()).isLessThanOrEqualTo(LIMIT_BYTES);
    }

    @Test
    void largestReceptionItselfGetsException() {
        HeaderMemoryAccount large = account("large");
        fill(account("small"), 2);
        assertThatThrownBy(() -> fill(large, MANY_FIELDS)).isInstanceOf(HeaderMemoryExhaustedException.class);
        assertThat(ended).isEmpty();
        large.release();
        assertThat(fill(large, 2)).hasSize(2);
    }

    @Test
    void responseIsNeverEndedForOthers() {
        fill(new HeaderMemoryAccount(budget, null), 40);
        assertThatThrownBy(() -> fill(account("request"), MANY_FIELDS))
                .isInstanceOf(HeaderMemoryExhaustedException.class);
        assertThat(ended).isEmpty();
    }

    @Test
    void requestInProgressIsChargedUntilReleasedOnce() {
        HeaderMemoryAccount account = account("a");
        HttpHeaders headers = fill(account, 5);
        long charged = budget.usedBytes();
        assertThat(ReceivedHeaders.beginProgress(headers)).isTrue();
        account.release(); // its connection is closed, the request goes on
        headers.add(NAME, "later"); // not received, not charged
        assertThat(budget.usedBytes()).isEqualTo(charged);
        ReceivedHeaders.release(headers);
        ReceivedHeaders.release(headers);
        assertThat(budget.usedBytes()).isZero();
    }

    @Test
    void requestsInProgressLeavePartOfBudgetToOthers() {
        HttpHeaders first = fill(account("a"), 20);
        assertThat(ReceivedHeaders.beginProgress(first)).isTrue();
        HttpHeaders second = fill(account("b"), 20);
        assertThat(ReceivedHeaders.beginProgress(second)).isFalse();
        ReceivedHeaders.release(first);
        assertThat(ReceivedHeaders.beginProgress(second)).isTrue();
    }

    @Test
    void trailersAreValidatedAndNotKept() {
        HttpHeaders trailers = new DiscardedTrailers.Factory().newHeaders();
        trailers.add(NAME, "value");
        assertThat(trailers).isEmpty();
        assertThatThrownBy(() -> trailers.add(new AsciiString("na me"), "value"))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
