package rillyard.proxy.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The attempts of one request, in the order in which they were begun. */
final class AttemptList {
    private final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    private int open;

    /** Adds an attempt that has no outcome yet. */
    void add(UpstreamAttempt attempt) {
        attempts.add(attempt);
        open++;
    }

    /** One of the attempts has its outcome. */
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

    /** Returns whether one of them was lost with a connection that the host may have forgotten. */
    boolean hasLostKeptConnection() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).hasLostKeptConnection()) {
                return true;
            }
        }
        return false;
    }

    /** Cancels the attempt with this number, counted from 0. */
    void cancel(int number) {
        attempts.get(number).cancel();
    }

    /** Cancels the open ones. */
    void cancelAll() {
        forEachOpen(UpstreamAttempt::cancel);
    }

    /** Cancels the open ones whose last byte no host can have. */
    void cancelUnwritten() {
        forEachOpen(attempt -> {
            if (!attempt.mayHaveRun()) {
                attempt.cancel();
            }
        });
    }

    /** Ends the open ones as their time is up. */
    void timeOutAll() {
        forEachOpen(UpstreamAttempt::onTimeout);
    }

    /** Ends the open ones as their request can't be written completely. */
    void endAllAsNotSent() {
        forEachOpen(UpstreamAttempt::onNotSent);
    }

    /** The end of one may begin another, which is visited as well. */
    private void forEachOpen(Consumer<UpstreamAttempt> action) {
        for (int i = 0; i < attempts.size(); i++) {
            UpstreamAttempt attempt = attempts.get(i);
            if (attempt.isOpen()) {
                action.accept(attempt);
            }
        }
    }
}
