package org.geraniumford.core.limits;

/** A token bucket whose balance may be negative. Not thread-safe. */
final class RateBucket {
    private static final double MICROS_PER_SECOND = 1_000_000;

    private double balance;
    private long refilledMicros;

    RateBucket(double balance, long nowMicros) {
        this.balance = balance;
        this.refilledMicros = nowMicros;
    }

    // -- commands

    /** Adds the amount that a rate per second has yielded since the last call, up to a capacity. */
    void refill(double ratePerSecond, double capacity, long nowMicros) {
        double earned = ratePerSecond * Math.max(0, nowMicros - refilledMicros) / MICROS_PER_SECOND;
        balance = Math.min(capacity, balance + earned);
        refilledMicros = Math.max(refilledMicros, nowMicros);
    }

    void consume(double amount) {
        balance -= amount;
    }

    /** Lowers the balance to an amount; a lower one is kept. */
    void lowerTo(double amount) {
        balance = Math.min(balance, amount);
    }

    /** Raises the balance to an amount; a higher one is kept. */
    void raiseTo(double amount) {
        balance = Math.max(balance, amount);
    }

    // -- queries

    double balance() {
        return balance;
    }

    boolean hasBalance(double amount) {
        return balance >= amount;
    }

    /** Returns the time until the balance reaches an amount at a positive rate, in microseconds. */
    long microsUntil(double amount, double ratePerSecond) {
        return balance >= amount ? 0 : (long) Math.ceil((amount - balance) / ratePerSecond * MICROS_PER_SECOND);
    }
}
