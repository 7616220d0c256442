package org.geraniumford.core.limits;

import static java.util.Objects.requireNonNull;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.geraniumford.core.configuration.Customer;

/**
 * The accounts of the customers whose limits one entry owns. The owner sums the usage that all entries report, divides
 * each limit among them by demand, and blocks a customer whose balance is negative until it is refilled to zero. Its
 * state is not persisted: a new owner starts with full balances. Not thread-safe.
 */
public final class LimitOwner {
    /** The shortest time between two reports of one entry for one customer, in microseconds. */
    public static final long MIN_REPORT_INTERVAL_MICROS = 100_000;

    /** The longest time between two reports of one entry for one customer with traffic, in microseconds. */
    public static final long MAX_REPORT_INTERVAL_MICROS = 10_000_000;

    /**
     * The maximum rate of reports and shares of an owner, in bytes per second on the wire. With very many reporters the
     * rate is higher, because each sends a report at least every {@link #MAX_REPORT_INTERVAL_MICROS}.
     */
    public static final long REPORT_BYTES_PER_SECOND = 5_000;

    /** The size of a report and the share returned for it, in bytes on the wire, including TCP and IP headers. */
    public static final long EXCHANGE_BYTES = 300;

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long SECONDS_PER_KILOSECOND = 1_000;
    private static final double MIN_SHARE_FILL_RATIO = 0.75;
    private static final double MIN_SHARE_EQUAL_PARTS = 3;

    /** A report expires after this many report intervals and 1 s more. */
    private static final int EXPIRY_REPORT_INTERVALS = 3;

    /** The number of accounts at which those without a recent report are removed before another one is added. */
    private static final long MAX_ACCOUNTS = 100_000;

    private final Map<String, Account> accounts = new HashMap<>();
    private int reporterCount;

    private LimitOwner() {}

    /**
     * The last report of an entry.
     *
     * @param requests the requests received per second, including those refused
     * @param tokens the tokens of these requests per second
     * @param streams the number of admitted requests that have not ended
     * @param expiresMicros when the report expires, in microseconds since the origin that {@link #recordUsage} uses
     */
    private record Reporter(double requests, double tokens, int streams, long expiresMicros) {}

    /** The balances of one customer, each with a capacity of 1 s of the limit, and the last report of each entry. */
    private static final class Account {
        private final RateBucket requests;
        private final RateBucket tokens;
        private final Map<String, Reporter> reporters = new HashMap<>();

        Account(Customer customer, long nowMicros) {
            this.requests = new RateBucket(customer.requestsPerSecond(), nowMicros);
            this.tokens = new RateBucket(customer.tokensPerSecond(), nowMicros);
        }
    }

    // -- construction

    /**
     * Creates an owner without accounts.
     *
     * @return a new owner
     */
    public static LimitOwner empty() {
        return new LimitOwner();
    }

    // -- queries

    /**
     * Returns the owner of a customer's limits, chosen by rendezvous hashing.
     *
     * @param customer the customer's name
     * @param entries the names of the entries
     * @return the name of the owner, which is the same in every process with the same entries; empty if there are none
     */
    public static Optional<String> ownerOf(String customer, List<String> entries) {
        return entries.stream()
                .max(Comparator.comparingLong((String entry) -> Hashing.wyhashFinal4()
                                .hashStream()
                                .putString(customer)
                                .putString(entry)
                                .getAsLong())
                        .thenComparing(Comparator.naturalOrder()));
    }

    // -- commands

    /**
     * Records an entry's report.
     *
     * @param customer the customer and its limits
     * @param usage the report
     * @param nowMicros the current time, in microseconds since any fixed origin
     * @return the share of the entry until its next report
     */
    public LimitShare recordUsage(Customer customer, LimitUsage usage, long nowMicros) {
        requireNonNull(customer, "customer is null");
        Account account = account(customer, nowMicros);
        account.requests.refill(customer.requestsPerSecond(), customer.requestsPerSecond(), nowMicros);
        account.tokens.refill(customer.tokensPerSecond(), customer.tokensPerSecond(), nowMicros);
        account.requests.consume((double) usage.requests());
        account.tokens.consume((double) usage.tokens());
        recordReporter(account, usage, nowMicros);
        return share(customer, account, usage.entry());
    }

    private Account account(Customer customer, long nowMicros) {
        if (accounts.size() >= MAX_ACCOUNTS) {
            removeExpiredAccounts(nowMicros);
        }
        return accounts.computeIfAbsent(customer.name(), name -> new Account(customer, nowMicros));
    }

    private void recordReporter(Account account, LimitUsage usage, long nowMicros) {
        long expiresMicros = nowMicros + EXPIRY_REPORT_INTERVALS * reportAfterMicros() + MICROS_PER_SECOND;
        reporterCount -= account.reporters.size();
        account.reporters.values().removeIf(reporter -> reporter.expiresMicros() <= nowMicros);
        double seconds = (double) usage.periodMicros() / MICROS_PER_SECOND;
        account.reporters.put(
                usage.entry(),
                new Reporter(
                        usage.receivedRequests() / seconds,
                        usage.receivedTokens() / seconds,
                        usage.streams(),
                        expiresMicros));
        reporterCount += account.reporters.size();
    }

    private void removeExpiredAccounts(long nowMicros) {
        accounts.values()
                .removeIf(account -> account.reporters.values().stream()
                        .allMatch(reporter -> reporter.expiresMicros() <= nowMicros));
        reporterCount = accounts.values().stream()
                .mapToInt(account -> account.reporters.size())
                .sum();
    }

    // -- shares

    private LimitShare share(Customer customer, Account account, String entry) {
        double requestsPerSecond = Math.max(
                share(customer.requestsPerSecond(), account, entry, Reporter::requests),
                minShare(customer.requestsPerSecond(), account.requests, account.reporters.size()));
        double tokensPerSecond = Math.max(
                share(customer.tokensPerSecond(), account, entry, Reporter::tokens),
                minShare(customer.tokensPerSecond(), account.tokens, account.reporters.size()));
        int otherStreams = account.reporters.entrySet().stream()
                .filter(other -> !other.getKey().equals(entry))
                .mapToInt(other -> other.getValue().streams())
                .sum();
        return new LimitShare(
                customer.name(),
                (long) (requestsPerSecond * SECONDS_PER_KILOSECOND),
                (long) tokensPerSecond,
                Math.max(0, customer.maxStreams() - otherStreams),
                blockedMicros(customer, account),
                reportAfterMicros());
    }

    /**
     * Returns an entry's share of a limit: what the others leave if the total demand is within the limit, else a part
     * proportional to its demand.
     */
    private static double share(double limit, Account account, String entry, ToDoubleFunction<Reporter> demand) {
        double own = demand.applyAsDouble(account.reporters.get(entry));
        double total = account.reporters.values().stream().mapToDouble(demand).sum();
        return total <= limit ? limit - (total - own) : limit * own / total;
    }

    /**
     * Returns the minimum share of an entry, which does not depend on its earlier demand:
     * {@link #MIN_SHARE_EQUAL_PARTS} equal parts of the limit, at most the whole limit, while the customer's balance is
     * at least {@link #MIN_SHARE_FILL_RATIO} of its capacity, else 0.
     */
    private static double minShare(double limit, RateBucket bucket, int reporters) {
        return bucket.hasBalance(limit * MIN_SHARE_FILL_RATIO)
                ? Math.min(limit, limit * MIN_SHARE_EQUAL_PARTS / reporters)
                : 0;
    }

    private static long blockedMicros(Customer customer, Account account) {
        long requestMicros =
                customer.requestsPerSecond() == 0 ? 0 : account.requests.microsUntil(0, customer.requestsPerSecond());
        long tokenMicros =
                customer.tokensPerSecond() == 0 ? 0 : account.tokens.microsUntil(0, customer.tokensPerSecond());
        return Math.max(requestMicros, tokenMicros);
    }

    /**
     * Returns the time between two reports of one entry, in microseconds. It grows with the number of reporters, up to
     * {@link #MAX_REPORT_INTERVAL_MICROS}, to keep the exchange within {@link #REPORT_BYTES_PER_SECOND}.
     */
    private long reportAfterMicros() {
        long intervalMicros = reporterCount * EXCHANGE_BYTES * MICROS_PER_SECOND / REPORT_BYTES_PER_SECOND;
        return Math.min(MAX_REPORT_INTERVAL_MICROS, Math.max(MIN_REPORT_INTERVAL_MICROS, intervalMicros));
    }
}
