package rillyard.proxy.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Holds the attempts of one request in the order in which they were added. */
final class AttemptList {
    private final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    private int open;

    /** Adds an attempt that has no outcome yet. */
    void add(UpstreamAttempt attempt) {
        attempts.add(attempt);
        open++;
    }

    /** Records that one of the attempts has its outcome. */
    void onEnded() {
        open--;
    }

    /** Returns the number of attempts, ended ones included. */
    int size() {
        return attempts.size();
    }

    /** Returns whether an attempt has no outcome yet. */
    boolean hasOpen() {
        return open > 0;
    }

    /** Returns whether an attempt lost a reused connection, which the host may have dropped while it was idle. */
    boolean hasLostReusedConnection() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).hasLostReusedConnection()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a host may have executed the request, judging by all attempts. */
    boolean mayHaveExecuted() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveHadEffect()) {
                return true;
            }
        }
        return false;
    }

    /** Cancels the attempt with this number, counted from 0. */
    void cancel(int number) {
        attempts.get(number).cancel();
    }

    /** Cancels all open attempts. */
    void cancelAll() {
        forEachOpen(UpstreamAttempt::cancel);
    }

    /** Cancels the open attempts whose request has not been written completely. */
    void cancelUnwritten() {
        forEachOpen(attempt -> {
            if (!attempt.mayHaveExecuted()) {
                attempt.cancel();
            }
        });
    }

    /** Begins to forward a response of unknown length that has begun to arrive. */
    void forwardBegunResponses() {
        forEachOpen(UpstreamAttempt::forwardBegunResponse);
    }

    /** Ends all open attempts, as their time is up. */
    void timeOutAll() {
        forEachOpen(UpstreamAttempt::onTimeout);
    }

    /** Ends all open attempts, as their request can't be written completely. */
    void endAllAsSendFailed() {
        forEachOpen(UpstreamAttempt::onSendFailed);
    }

    /** Visits the open attempts, those included that are added when the action ends another. */
    private void forEachOpen(Consumer<UpstreamAttempt> action) {
        for (int i = 0; i < attempts.size(); i++) {
            UpstreamAttempt attempt = attempts.get(i);
            if (attempt.isOpen()) {
                action.accept(attempt);
            }
        }
    }
}
