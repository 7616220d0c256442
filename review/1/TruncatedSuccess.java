import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;

/**
 * A runner begins its answer, a success without a length, before it has read a long body. With trouble it resets the
 * channel in the middle of the answer; without, it reads the rest of the body and sends the whole answer.
 */
final class TruncatedSuccess {
    private static final int REQUESTS = 10;
    private static final int REQUEST_BYTES = 4_000_000;
    private static final int ANSWER_BYTES = 40_000;
    private static final int DEADLINE_MS = 3000;

    /** A channel with a small window, so that the sender of a body that is not read has to wait. */
    private static final int RECEIVE_BUFFER_BYTES = 16_384;

    private TruncatedSuccess() {}

    public static void main(String[] arguments) {
        Case.run(arguments, TruncatedSuccess::run);
    }

    private static int run(Deployment deployment, Log log, boolean trouble) throws Exception {
        deployment.configure(1);
        Runner runner =
                new Runner("i-1", RECEIVE_BUFFER_BYTES, (head, in, channel) -> serve(head, in, channel, trouble, log));
        deployment.runner(runner, "plain", 6);
        Entry entry = deployment.entry("front-a-1", "127.0.0.1");
        log.line("the entry is ready");
        int truncated = 0;
        int whole = 0;
        for (int i = 1; i <= REQUESTS; i++) {
            String id = "request-" + i;
            log.line("sent %s, %d bytes", id, REQUEST_BYTES);
            Http.Response response =
                    Deployment.call(entry, "POST", "/unsafe/x", id, DEADLINE_MS, new byte[REQUEST_BYTES]);
            boolean complete = response.broken().isEmpty();
            log.line("%s is answered %d, stamp \"%s\", %d of the runner's %d bytes, %s", id, response.status(),
                    response.head() == null ? "" : response.head().field("X-Server-Stamp"), response.body().length,
                    ANSWER_BYTES, complete ? "complete" : response.broken());
            boolean success = response.status() == 200 && complete;
            truncated += success && response.body().length < ANSWER_BYTES ? 1 : 0;
            whole += success && response.body().length == ANSWER_BYTES ? 1 : 0;
        }
        log.line("%d successes with the runner's whole body, %d with a truncated one", whole, truncated);
        if (truncated > 0) {
            return Case.BROKEN;
        }
        return trouble || whole == REQUESTS ? Case.HELD : Case.NOT_RUN;
    }

    private static boolean serve(Http.Head request, InputStream in, Socket channel, boolean trouble, Log log)
            throws IOException, InterruptedException {
        String id = request.field("X-Attempt-Id");
        OutputStream out = channel.getOutputStream();
        byte[] answer = new byte[ANSWER_BYTES];
        Arrays.fill(answer, (byte) 'a');
        out.write(Http.ascii("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                + "\r\nX-Server-Stamp: stamp-" + id + "\r\nConnection: close\r\n\r\n"));
        out.write(answer, 0, ANSWER_BYTES / 2);
        out.flush();
        log.line("the runner runs %s and has sent %d of %d bytes of its answer", id, ANSWER_BYTES / 2, ANSWER_BYTES);
        if (trouble) {
            Thread.sleep(300);
            log.line("the runner resets the channel of %s", id);
            channel.setSoLinger(true, 0);
            return false;
        }
        Http.readBytes(in, request.length());
        out.write(answer, ANSWER_BYTES / 2, ANSWER_BYTES / 2);
        out.flush();
        return false;
    }
}
