/*eslint-disable block-scoped-var, id-length, no-control-regex, no-magic-numbers, no-mixed-operators, no-prototype-builtins, no-redeclare, no-shadow, no-var, sort-vars, default-case, jsdoc/require-param*/
import $protobuf from "protobufjs/minimal.js";

// Common aliases
const $Reader = $protobuf.Reader, $Writer = $protobuf.Writer, $util = $protobuf.util;
const $Object = $util.global.Object, $undefined = $util.global.undefined, $Error = $util.global.Error, $RangeError = $util.global.RangeError, $Array = $util.global.Array;

// Exported root namespace
const $root = $protobuf.roots["default"] || ($protobuf.roots["default"] = {});

export const vanillarock = $root.vanillarock = (() => {

    /**
     * Namespace vanillarock.
     * @exports vanillarock
     * @namespace
     */
    const vanillarock = {};

    vanillarock.control = (function() {

        /**
         * Namespace control.
         * @memberof vanillarock
         * @namespace
         */
        const control = {};

        control.Word = (function() {

            /**
             * Properties of a Word.
             * @typedef {Object} vanillarock.control.Word.$Properties
             * @property {string|null} [host] Word host
             * @property {string|null} [service] Word service
             * @property {string|null} [failureDomain] Word failureDomain
             * @property {string|null} [dataAddress] Word dataAddress
             * @property {string|null} [controlAddress] Word controlAddress
             * @property {string|null} [incarnation] Word incarnation
             * @property {number|null} [sequence] Word sequence
             * @property {boolean|null} [draining] Word draining
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Word.
             * @memberof vanillarock.control
             * @interface IWord
             * @augments vanillarock.control.Word.$Properties
             * @deprecated Use vanillarock.control.Word.$Properties instead.
             */

            /**
             * Shape of a Word.
             * @typedef {vanillarock.control.Word.$Properties} vanillarock.control.Word.$Shape
             */

            /**
             * Constructs a new Word.
             * @memberof vanillarock.control
             * @classdesc Represents a Word.
             * @constructor
             * @param {vanillarock.control.Word.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Word = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Word host.
             * @member {string} host
             * @memberof vanillarock.control.Word
             * @instance
             */
            Word.prototype.host = "";

            /**
             * Word service.
             * @member {string} service
             * @memberof vanillarock.control.Word
             * @instance
             */
            Word.prototype.service = "";

            /**
             * Word failureDomain.
             * @member {string} failureDomain
             * @memberof vanillarock.control.Word
             * @instance
             */
            Word.prototype.failureDomain = "";

            /**
             * Word dataAddress.
             * @member {string} dataAddress
             * @memberof vanillarock.control.Word
             * @instance
             */
            Word.prototype.dataAddress = "";

            /**
             * Word controlAddress.
             * @member {string} controlAddress
             * @memberof vanillarock.control.Word
             * @instance
             */
            Word.prototype.controlAddress = "";

            /**
             * Word incarnation.
             * @member {string} incarnation
             * @memberof vanillarock.control.Word
             * @instance
             */
            Word.prototype.incarnation = "";

            /**
             * Word sequence.
             * @member {number} sequence
             * @memberof vanillarock.control.Word
             * @instance
             */
            Word.prototype.sequence = 0;

            /**
             * Word draining.
             * @member {boolean} draining
             * @memberof vanillarock.control.Word
             * @instance
             */
            Word.prototype.draining = false;

            /**
             * Creates a new Word instance using the specified properties.
             * @function create
             * @memberof vanillarock.control.Word
             * @static
             * @param {vanillarock.control.Word.$Properties=} [properties] Properties to set
             * @returns {vanillarock.control.Word} Word instance
             * @type {{
             *   (properties: vanillarock.control.Word.$Shape): vanillarock.control.Word & vanillarock.control.Word.$Shape;
             *   (properties?: vanillarock.control.Word.$Properties): vanillarock.control.Word;
             * }}
             */
            Word.create = function(properties) {
                return new Word(properties);
            };

            /**
             * Encodes the specified Word message. Does not implicitly {@link vanillarock.control.Word.verify|verify} messages.
             * @function encode
             * @memberof vanillarock.control.Word
             * @static
             * @param {vanillarock.control.Word.$Properties} message Word message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Word.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.host != null && $Object.hasOwnProperty.call(message, "host") && message.host !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.host);
                if (message.service != null && $Object.hasOwnProperty.call(message, "service") && message.service !== "")
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.service);
                if (message.failureDomain != null && $Object.hasOwnProperty.call(message, "failureDomain") && message.failureDomain !== "")
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.failureDomain);
                if (message.dataAddress != null && $Object.hasOwnProperty.call(message, "dataAddress") && message.dataAddress !== "")
                    writer.uint32(/* id 4, wireType 2 =*/34).string(message.dataAddress);
                if (message.controlAddress != null && $Object.hasOwnProperty.call(message, "controlAddress") && message.controlAddress !== "")
                    writer.uint32(/* id 5, wireType 2 =*/42).string(message.controlAddress);
                if (message.incarnation != null && $Object.hasOwnProperty.call(message, "incarnation") && message.incarnation !== "")
                    writer.uint32(/* id 6, wireType 2 =*/50).string(message.incarnation);
                if (message.sequence != null && $Object.hasOwnProperty.call(message, "sequence") && message.sequence !== 0)
                    writer.uint32(/* id 7, wireType 0 =*/56).uint32(message.sequence);
                if (message.draining != null && $Object.hasOwnProperty.call(message, "draining") && message.draining !== false)
                    writer.uint32(/* id 8, wireType 0 =*/64).bool(message.draining);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Word message from the specified reader or buffer.
             * @function decode
             * @memberof vanillarock.control.Word
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {vanillarock.control.Word & vanillarock.control.Word.$Shape} Word
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Word.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.vanillarock.control.Word();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.host = value;
                            else
                                delete message.host;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.service = value;
                            else
                                delete message.service;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.failureDomain = value;
                            else
                                delete message.failureDomain;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.dataAddress = value;
                            else
                                delete message.dataAddress;
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.controlAddress = value;
                            else
                                delete message.controlAddress;
                            continue;
                        }
                    case 6: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.incarnation = value;
                            else
                                delete message.incarnation;
                            continue;
                        }
                    case 7: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.sequence = value;
                            else
                                delete message.sequence;
                            continue;
                        }
                    case 8: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.draining = value;
                            else
                                delete message.draining;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Verifies a Word message.
             * @function verify
             * @memberof vanillarock.control.Word
             * @static
             * @param {Object.<string,*>} message Plain object to verify
             * @returns {string|null} `null` if valid, otherwise the reason why it is not
             */
            Word.verify = function (message, _depth) {
                if (typeof message !== "object" || message === null)
                    return "object expected";
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    return "max depth exceeded";
                if (message.host != null && $Object.hasOwnProperty.call(message, "host"))
                    if (!$util.isString(message.host))
                        return "host: string expected";
                if (message.service != null && $Object.hasOwnProperty.call(message, "service"))
                    if (!$util.isString(message.service))
                        return "service: string expected";
                if (message.failureDomain != null && $Object.hasOwnProperty.call(message, "failureDomain"))
                    if (!$util.isString(message.failureDomain))
                        return "failureDomain: string expected";
                if (message.dataAddress != null && $Object.hasOwnProperty.call(message, "dataAddress"))
                    if (!$util.isString(message.dataAddress))
                        return "dataAddress: string expected";
                if (message.controlAddress != null && $Object.hasOwnProperty.call(message, "controlAddress"))
                    if (!$util.isString(message.controlAddress))
                        return "controlAddress: string expected";
                if (message.incarnation != null && $Object.hasOwnProperty.call(message, "incarnation"))
                    if (!$util.isString(message.incarnation))
                        return "incarnation: string expected";
                if (message.sequence != null && $Object.hasOwnProperty.call(message, "sequence"))
                    if (!$util.isInteger(message.sequence))
                        return "sequence: integer expected";
                if (message.draining != null && $Object.hasOwnProperty.call(message, "draining"))
                    if (typeof message.draining !== "boolean")
                        return "draining: boolean expected";
                return null;
            };

            /**
             * Gets the type url for Word
             * @function getTypeUrl
             * @memberof vanillarock.control.Word
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Word.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/vanillarock.control.Word";
            };

            return Word;
        })();

        control.Hello = (function() {

            /**
             * Properties of a Hello.
             * @typedef {Object} vanillarock.control.Hello.$Properties
             * @property {vanillarock.control.Word.$Properties|null} [word] Hello word
             * @property {string|null} [digest] Hello digest
             * @property {boolean|null} [wantsReply] Hello wantsReply
             * @property {Array.<vanillarock.control.Word.$Properties>|null} [words] Hello words
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Hello.
             * @memberof vanillarock.control
             * @interface IHello
             * @augments vanillarock.control.Hello.$Properties
             * @deprecated Use vanillarock.control.Hello.$Properties instead.
             */

            /**
             * Shape of a Hello.
             * @typedef {vanillarock.control.Hello.$Properties} vanillarock.control.Hello.$Shape
             */

            /**
             * Constructs a new Hello.
             * @memberof vanillarock.control
             * @classdesc Represents a Hello.
             * @constructor
             * @param {vanillarock.control.Hello.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Hello = function (properties) {
                this.words = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Hello word.
             * @member {vanillarock.control.Word.$Properties|null|undefined} word
             * @memberof vanillarock.control.Hello
             * @instance
             */
            Hello.prototype.word = null;

            /**
             * Hello digest.
             * @member {string} digest
             * @memberof vanillarock.control.Hello
             * @instance
             */
            Hello.prototype.digest = "";

            /**
             * Hello wantsReply.
             * @member {boolean} wantsReply
             * @memberof vanillarock.control.Hello
             * @instance
             */
            Hello.prototype.wantsReply = false;

            /**
             * Hello words.
             * @member {Array.<vanillarock.control.Word.$Properties>} words
             * @memberof vanillarock.control.Hello
             * @instance
             */
            Hello.prototype.words = $util.emptyArray;

            /**
             * Creates a new Hello instance using the specified properties.
             * @function create
             * @memberof vanillarock.control.Hello
             * @static
             * @param {vanillarock.control.Hello.$Properties=} [properties] Properties to set
             * @returns {vanillarock.control.Hello} Hello instance
             * @type {{
             *   (properties: vanillarock.control.Hello.$Shape): vanillarock.control.Hello & vanillarock.control.Hello.$Shape;
             *   (properties?: vanillarock.control.Hello.$Properties): vanillarock.control.Hello;
             * }}
             */
            Hello.create = function(properties) {
                return new Hello(properties);
            };

            /**
             * Encodes the specified Hello message. Does not implicitly {@link vanillarock.control.Hello.verify|verify} messages.
             * @function encode
             * @memberof vanillarock.control.Hello
             * @static
             * @param {vanillarock.control.Hello.$Properties} message Hello message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Hello.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.word != null && $Object.hasOwnProperty.call(message, "word"))
                    $root.vanillarock.control.Word.encode(message.word, writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.digest != null && $Object.hasOwnProperty.call(message, "digest") && message.digest !== "")
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.digest);
                if (message.wantsReply != null && $Object.hasOwnProperty.call(message, "wantsReply") && message.wantsReply !== false)
                    writer.uint32(/* id 3, wireType 0 =*/24).bool(message.wantsReply);
                if (message.words != null && message.words.length)
                    for (let i = 0; i < message.words.length; ++i)
                        $root.vanillarock.control.Word.encode(message.words[i], writer.uint32(/* id 4, wireType 2 =*/34).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Hello message from the specified reader or buffer.
             * @function decode
             * @memberof vanillarock.control.Hello
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {vanillarock.control.Hello & vanillarock.control.Hello.$Shape} Hello
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Hello.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.vanillarock.control.Hello();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            message.word = $root.vanillarock.control.Word.decode(reader, reader.size(), $undefined, _depth + 1, message.word);
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.digest = value;
                            else
                                delete message.digest;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.bool())
                                message.wantsReply = value;
                            else
                                delete message.wantsReply;
                            continue;
                        }
                    case 4: {
                            if (wireType !== 2)
                                break;
                            if (!(message.words && message.words.length))
                                message.words = [];
                            message.words.push($root.vanillarock.control.Word.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Verifies a Hello message.
             * @function verify
             * @memberof vanillarock.control.Hello
             * @static
             * @param {Object.<string,*>} message Plain object to verify
             * @returns {string|null} `null` if valid, otherwise the reason why it is not
             */
            Hello.verify = function (message, _depth) {
                if (typeof message !== "object" || message === null)
                    return "object expected";
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    return "max depth exceeded";
                if (message.word != null && $Object.hasOwnProperty.call(message, "word")) {
                    let error = $root.vanillarock.control.Word.verify(message.word, _depth + 1);
                    if (error)
                        return "word." + error;
                }
                if (message.digest != null && $Object.hasOwnProperty.call(message, "digest"))
                    if (!$util.isString(message.digest))
                        return "digest: string expected";
                if (message.wantsReply != null && $Object.hasOwnProperty.call(message, "wantsReply"))
                    if (typeof message.wantsReply !== "boolean")
                        return "wantsReply: boolean expected";
                if (message.words != null && $Object.hasOwnProperty.call(message, "words")) {
                    if (!$Array.isArray(message.words))
                        return "words: array expected";
                    for (let i = 0; i < message.words.length; ++i) {
                        let error = $root.vanillarock.control.Word.verify(message.words[i], _depth + 1);
                        if (error)
                            return "words." + error;
                    }
                }
                return null;
            };

            /**
             * Gets the type url for Hello
             * @function getTypeUrl
             * @memberof vanillarock.control.Hello
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Hello.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/vanillarock.control.Hello";
            };

            return Hello;
        })();

        control.DocumentRevision = (function() {

            /**
             * Properties of a DocumentRevision.
             * @typedef {Object} vanillarock.control.DocumentRevision.$Properties
             * @property {string|null} [key] DocumentRevision key
             * @property {number|null} [revision] DocumentRevision revision
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a DocumentRevision.
             * @memberof vanillarock.control
             * @interface IDocumentRevision
             * @augments vanillarock.control.DocumentRevision.$Properties
             * @deprecated Use vanillarock.control.DocumentRevision.$Properties instead.
             */

            /**
             * Shape of a DocumentRevision.
             * @typedef {vanillarock.control.DocumentRevision.$Properties} vanillarock.control.DocumentRevision.$Shape
             */

            /**
             * Constructs a new DocumentRevision.
             * @memberof vanillarock.control
             * @classdesc Represents a DocumentRevision.
             * @constructor
             * @param {vanillarock.control.DocumentRevision.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const DocumentRevision = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * DocumentRevision key.
             * @member {string} key
             * @memberof vanillarock.control.DocumentRevision
             * @instance
             */
            DocumentRevision.prototype.key = "";

            /**
             * DocumentRevision revision.
             * @member {number} revision
             * @memberof vanillarock.control.DocumentRevision
             * @instance
             */
            DocumentRevision.prototype.revision = 0;

            /**
             * Creates a new DocumentRevision instance using the specified properties.
             * @function create
             * @memberof vanillarock.control.DocumentRevision
             * @static
             * @param {vanillarock.control.DocumentRevision.$Properties=} [properties] Properties to set
             * @returns {vanillarock.control.DocumentRevision} DocumentRevision instance
             * @type {{
             *   (properties: vanillarock.control.DocumentRevision.$Shape): vanillarock.control.DocumentRevision & vanillarock.control.DocumentRevision.$Shape;
             *   (properties?: vanillarock.control.DocumentRevision.$Properties): vanillarock.control.DocumentRevision;
             * }}
             */
            DocumentRevision.create = function(properties) {
                return new DocumentRevision(properties);
            };

            /**
             * Encodes the specified DocumentRevision message. Does not implicitly {@link vanillarock.control.DocumentRevision.verify|verify} messages.
             * @function encode
             * @memberof vanillarock.control.DocumentRevision
             * @static
             * @param {vanillarock.control.DocumentRevision.$Properties} message DocumentRevision message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            DocumentRevision.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.key != null && $Object.hasOwnProperty.call(message, "key") && message.key !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.key);
                if (message.revision != null && $Object.hasOwnProperty.call(message, "revision") && message.revision !== 0)
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.revision);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a DocumentRevision message from the specified reader or buffer.
             * @function decode
             * @memberof vanillarock.control.DocumentRevision
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {vanillarock.control.DocumentRevision & vanillarock.control.DocumentRevision.$Shape} DocumentRevision
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            DocumentRevision.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.vanillarock.control.DocumentRevision();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.key = value;
                            else
                                delete message.key;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.revision = value;
                            else
                                delete message.revision;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Verifies a DocumentRevision message.
             * @function verify
             * @memberof vanillarock.control.DocumentRevision
             * @static
             * @param {Object.<string,*>} message Plain object to verify
             * @returns {string|null} `null` if valid, otherwise the reason why it is not
             */
            DocumentRevision.verify = function (message, _depth) {
                if (typeof message !== "object" || message === null)
                    return "object expected";
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    return "max depth exceeded";
                if (message.key != null && $Object.hasOwnProperty.call(message, "key"))
                    if (!$util.isString(message.key))
                        return "key: string expected";
                if (message.revision != null && $Object.hasOwnProperty.call(message, "revision"))
                    if (!$util.isInteger(message.revision))
                        return "revision: integer expected";
                return null;
            };

            /**
             * Gets the type url for DocumentRevision
             * @function getTypeUrl
             * @memberof vanillarock.control.DocumentRevision
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            DocumentRevision.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/vanillarock.control.DocumentRevision";
            };

            return DocumentRevision;
        })();

        control.Index = (function() {

            /**
             * Properties of an Index.
             * @typedef {Object} vanillarock.control.Index.$Properties
             * @property {Array.<vanillarock.control.DocumentRevision.$Properties>|null} [revisions] Index revisions
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of an Index.
             * @memberof vanillarock.control
             * @interface IIndex
             * @augments vanillarock.control.Index.$Properties
             * @deprecated Use vanillarock.control.Index.$Properties instead.
             */

            /**
             * Shape of an Index.
             * @typedef {vanillarock.control.Index.$Properties} vanillarock.control.Index.$Shape
             */

            /**
             * Constructs a new Index.
             * @memberof vanillarock.control
             * @classdesc Represents an Index.
             * @constructor
             * @param {vanillarock.control.Index.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Index = function (properties) {
                this.revisions = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Index revisions.
             * @member {Array.<vanillarock.control.DocumentRevision.$Properties>} revisions
             * @memberof vanillarock.control.Index
             * @instance
             */
            Index.prototype.revisions = $util.emptyArray;

            /**
             * Creates a new Index instance using the specified properties.
             * @function create
             * @memberof vanillarock.control.Index
             * @static
             * @param {vanillarock.control.Index.$Properties=} [properties] Properties to set
             * @returns {vanillarock.control.Index} Index instance
             * @type {{
             *   (properties: vanillarock.control.Index.$Shape): vanillarock.control.Index & vanillarock.control.Index.$Shape;
             *   (properties?: vanillarock.control.Index.$Properties): vanillarock.control.Index;
             * }}
             */
            Index.create = function(properties) {
                return new Index(properties);
            };

            /**
             * Encodes the specified Index message. Does not implicitly {@link vanillarock.control.Index.verify|verify} messages.
             * @function encode
             * @memberof vanillarock.control.Index
             * @static
             * @param {vanillarock.control.Index.$Properties} message Index message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Index.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.revisions != null && message.revisions.length)
                    for (let i = 0; i < message.revisions.length; ++i)
                        $root.vanillarock.control.DocumentRevision.encode(message.revisions[i], writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes an Index message from the specified reader or buffer.
             * @function decode
             * @memberof vanillarock.control.Index
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {vanillarock.control.Index & vanillarock.control.Index.$Shape} Index
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Index.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.vanillarock.control.Index();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            if (!(message.revisions && message.revisions.length))
                                message.revisions = [];
                            message.revisions.push($root.vanillarock.control.DocumentRevision.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Verifies an Index message.
             * @function verify
             * @memberof vanillarock.control.Index
             * @static
             * @param {Object.<string,*>} message Plain object to verify
             * @returns {string|null} `null` if valid, otherwise the reason why it is not
             */
            Index.verify = function (message, _depth) {
                if (typeof message !== "object" || message === null)
                    return "object expected";
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    return "max depth exceeded";
                if (message.revisions != null && $Object.hasOwnProperty.call(message, "revisions")) {
                    if (!$Array.isArray(message.revisions))
                        return "revisions: array expected";
                    for (let i = 0; i < message.revisions.length; ++i) {
                        let error = $root.vanillarock.control.DocumentRevision.verify(message.revisions[i], _depth + 1);
                        if (error)
                            return "revisions." + error;
                    }
                }
                return null;
            };

            /**
             * Gets the type url for Index
             * @function getTypeUrl
             * @memberof vanillarock.control.Index
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Index.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/vanillarock.control.Index";
            };

            return Index;
        })();

        control.Fetch = (function() {

            /**
             * Properties of a Fetch.
             * @typedef {Object} vanillarock.control.Fetch.$Properties
             * @property {Array.<string>|null} [keys] Fetch keys
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Fetch.
             * @memberof vanillarock.control
             * @interface IFetch
             * @augments vanillarock.control.Fetch.$Properties
             * @deprecated Use vanillarock.control.Fetch.$Properties instead.
             */

            /**
             * Shape of a Fetch.
             * @typedef {vanillarock.control.Fetch.$Properties} vanillarock.control.Fetch.$Shape
             */

            /**
             * Constructs a new Fetch.
             * @memberof vanillarock.control
             * @classdesc Represents a Fetch.
             * @constructor
             * @param {vanillarock.control.Fetch.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Fetch = function (properties) {
                this.keys = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Fetch keys.
             * @member {Array.<string>} keys
             * @memberof vanillarock.control.Fetch
             * @instance
             */
            Fetch.prototype.keys = $util.emptyArray;

            /**
             * Creates a new Fetch instance using the specified properties.
             * @function create
             * @memberof vanillarock.control.Fetch
             * @static
             * @param {vanillarock.control.Fetch.$Properties=} [properties] Properties to set
             * @returns {vanillarock.control.Fetch} Fetch instance
             * @type {{
             *   (properties: vanillarock.control.Fetch.$Shape): vanillarock.control.Fetch & vanillarock.control.Fetch.$Shape;
             *   (properties?: vanillarock.control.Fetch.$Properties): vanillarock.control.Fetch;
             * }}
             */
            Fetch.create = function(properties) {
                return new Fetch(properties);
            };

            /**
             * Encodes the specified Fetch message. Does not implicitly {@link vanillarock.control.Fetch.verify|verify} messages.
             * @function encode
             * @memberof vanillarock.control.Fetch
             * @static
             * @param {vanillarock.control.Fetch.$Properties} message Fetch message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Fetch.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.keys != null && message.keys.length)
                    for (let i = 0; i < message.keys.length; ++i)
                        writer.uint32(/* id 1, wireType 2 =*/10).string(message.keys[i]);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Fetch message from the specified reader or buffer.
             * @function decode
             * @memberof vanillarock.control.Fetch
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {vanillarock.control.Fetch & vanillarock.control.Fetch.$Shape} Fetch
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Fetch.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.vanillarock.control.Fetch();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            if (!(message.keys && message.keys.length))
                                message.keys = [];
                            message.keys.push(reader.stringVerify());
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Verifies a Fetch message.
             * @function verify
             * @memberof vanillarock.control.Fetch
             * @static
             * @param {Object.<string,*>} message Plain object to verify
             * @returns {string|null} `null` if valid, otherwise the reason why it is not
             */
            Fetch.verify = function (message, _depth) {
                if (typeof message !== "object" || message === null)
                    return "object expected";
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    return "max depth exceeded";
                if (message.keys != null && $Object.hasOwnProperty.call(message, "keys")) {
                    if (!$Array.isArray(message.keys))
                        return "keys: array expected";
                    for (let i = 0; i < message.keys.length; ++i)
                        if (!$util.isString(message.keys[i]))
                            return "keys: string[] expected";
                }
                return null;
            };

            /**
             * Gets the type url for Fetch
             * @function getTypeUrl
             * @memberof vanillarock.control.Fetch
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Fetch.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/vanillarock.control.Fetch";
            };

            return Fetch;
        })();

        control.Document = (function() {

            /**
             * Properties of a Document.
             * @typedef {Object} vanillarock.control.Document.$Properties
             * @property {string|null} [key] Document key
             * @property {number|null} [revision] Document revision
             * @property {string|null} [value] Document value
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Document.
             * @memberof vanillarock.control
             * @interface IDocument
             * @augments vanillarock.control.Document.$Properties
             * @deprecated Use vanillarock.control.Document.$Properties instead.
             */

            /**
             * Shape of a Document.
             * @typedef {vanillarock.control.Document.$Properties} vanillarock.control.Document.$Shape
             */

            /**
             * Constructs a new Document.
             * @memberof vanillarock.control
             * @classdesc Represents a Document.
             * @constructor
             * @param {vanillarock.control.Document.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Document = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Document key.
             * @member {string} key
             * @memberof vanillarock.control.Document
             * @instance
             */
            Document.prototype.key = "";

            /**
             * Document revision.
             * @member {number} revision
             * @memberof vanillarock.control.Document
             * @instance
             */
            Document.prototype.revision = 0;

            /**
             * Document value.
             * @member {string} value
             * @memberof vanillarock.control.Document
             * @instance
             */
            Document.prototype.value = "";

            /**
             * Creates a new Document instance using the specified properties.
             * @function create
             * @memberof vanillarock.control.Document
             * @static
             * @param {vanillarock.control.Document.$Properties=} [properties] Properties to set
             * @returns {vanillarock.control.Document} Document instance
             * @type {{
             *   (properties: vanillarock.control.Document.$Shape): vanillarock.control.Document & vanillarock.control.Document.$Shape;
             *   (properties?: vanillarock.control.Document.$Properties): vanillarock.control.Document;
             * }}
             */
            Document.create = function(properties) {
                return new Document(properties);
            };

            /**
             * Encodes the specified Document message. Does not implicitly {@link vanillarock.control.Document.verify|verify} messages.
             * @function encode
             * @memberof vanillarock.control.Document
             * @static
             * @param {vanillarock.control.Document.$Properties} message Document message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Document.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.key != null && $Object.hasOwnProperty.call(message, "key") && message.key !== "")
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.key);
                if (message.revision != null && $Object.hasOwnProperty.call(message, "revision") && message.revision !== 0)
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.revision);
                if (message.value != null && $Object.hasOwnProperty.call(message, "value") && message.value !== "")
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.value);
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Document message from the specified reader or buffer.
             * @function decode
             * @memberof vanillarock.control.Document
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {vanillarock.control.Document & vanillarock.control.Document.$Shape} Document
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Document.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.vanillarock.control.Document();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.key = value;
                            else
                                delete message.key;
                            continue;
                        }
                    case 2: {
                            if (wireType !== 0)
                                break;
                            if (value = reader.uint32())
                                message.revision = value;
                            else
                                delete message.revision;
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            if ((value = reader.stringVerify()).length)
                                message.value = value;
                            else
                                delete message.value;
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Verifies a Document message.
             * @function verify
             * @memberof vanillarock.control.Document
             * @static
             * @param {Object.<string,*>} message Plain object to verify
             * @returns {string|null} `null` if valid, otherwise the reason why it is not
             */
            Document.verify = function (message, _depth) {
                if (typeof message !== "object" || message === null)
                    return "object expected";
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    return "max depth exceeded";
                if (message.key != null && $Object.hasOwnProperty.call(message, "key"))
                    if (!$util.isString(message.key))
                        return "key: string expected";
                if (message.revision != null && $Object.hasOwnProperty.call(message, "revision"))
                    if (!$util.isInteger(message.revision))
                        return "revision: integer expected";
                if (message.value != null && $Object.hasOwnProperty.call(message, "value"))
                    if (!$util.isString(message.value))
                        return "value: string expected";
                return null;
            };

            /**
             * Gets the type url for Document
             * @function getTypeUrl
             * @memberof vanillarock.control.Document
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Document.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/vanillarock.control.Document";
            };

            return Document;
        })();

        control.Documents = (function() {

            /**
             * Properties of a Documents.
             * @typedef {Object} vanillarock.control.Documents.$Properties
             * @property {Array.<vanillarock.control.Document.$Properties>|null} [documents] Documents documents
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a Documents.
             * @memberof vanillarock.control
             * @interface IDocuments
             * @augments vanillarock.control.Documents.$Properties
             * @deprecated Use vanillarock.control.Documents.$Properties instead.
             */

            /**
             * Shape of a Documents.
             * @typedef {vanillarock.control.Documents.$Properties} vanillarock.control.Documents.$Shape
             */

            /**
             * Constructs a new Documents.
             * @memberof vanillarock.control
             * @classdesc Represents a Documents.
             * @constructor
             * @param {vanillarock.control.Documents.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Documents = function (properties) {
                this.documents = [];
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Documents documents.
             * @member {Array.<vanillarock.control.Document.$Properties>} documents
             * @memberof vanillarock.control.Documents
             * @instance
             */
            Documents.prototype.documents = $util.emptyArray;

            /**
             * Creates a new Documents instance using the specified properties.
             * @function create
             * @memberof vanillarock.control.Documents
             * @static
             * @param {vanillarock.control.Documents.$Properties=} [properties] Properties to set
             * @returns {vanillarock.control.Documents} Documents instance
             * @type {{
             *   (properties: vanillarock.control.Documents.$Shape): vanillarock.control.Documents & vanillarock.control.Documents.$Shape;
             *   (properties?: vanillarock.control.Documents.$Properties): vanillarock.control.Documents;
             * }}
             */
            Documents.create = function(properties) {
                return new Documents(properties);
            };

            /**
             * Encodes the specified Documents message. Does not implicitly {@link vanillarock.control.Documents.verify|verify} messages.
             * @function encode
             * @memberof vanillarock.control.Documents
             * @static
             * @param {vanillarock.control.Documents.$Properties} message Documents message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Documents.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.documents != null && message.documents.length)
                    for (let i = 0; i < message.documents.length; ++i)
                        $root.vanillarock.control.Document.encode(message.documents[i], writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a Documents message from the specified reader or buffer.
             * @function decode
             * @memberof vanillarock.control.Documents
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {vanillarock.control.Documents & vanillarock.control.Documents.$Shape} Documents
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Documents.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.vanillarock.control.Documents();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            if (!(message.documents && message.documents.length))
                                message.documents = [];
                            message.documents.push($root.vanillarock.control.Document.decode(reader, reader.size(), $undefined, _depth + 1));
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Verifies a Documents message.
             * @function verify
             * @memberof vanillarock.control.Documents
             * @static
             * @param {Object.<string,*>} message Plain object to verify
             * @returns {string|null} `null` if valid, otherwise the reason why it is not
             */
            Documents.verify = function (message, _depth) {
                if (typeof message !== "object" || message === null)
                    return "object expected";
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    return "max depth exceeded";
                if (message.documents != null && $Object.hasOwnProperty.call(message, "documents")) {
                    if (!$Array.isArray(message.documents))
                        return "documents: array expected";
                    for (let i = 0; i < message.documents.length; ++i) {
                        let error = $root.vanillarock.control.Document.verify(message.documents[i], _depth + 1);
                        if (error)
                            return "documents." + error;
                    }
                }
                return null;
            };

            /**
             * Gets the type url for Documents
             * @function getTypeUrl
             * @memberof vanillarock.control.Documents
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Documents.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/vanillarock.control.Documents";
            };

            return Documents;
        })();

        control.ControlMessage = (function() {

            /**
             * Properties of a ControlMessage.
             * @typedef {Object} vanillarock.control.ControlMessage.$Properties
             * @property {vanillarock.control.Word.$Properties|null} [from] ControlMessage from
             * @property {vanillarock.control.Hello.$Properties|null} [hello] ControlMessage hello
             * @property {vanillarock.control.Index.$Properties|null} [index] ControlMessage index
             * @property {vanillarock.control.Fetch.$Properties|null} [fetch] ControlMessage fetch
             * @property {vanillarock.control.Documents.$Properties|null} [documents] ControlMessage documents
             * @property {"hello"|"index"|"fetch"|"documents"} [body] ControlMessage body
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of a ControlMessage.
             * @memberof vanillarock.control
             * @interface IControlMessage
             * @augments vanillarock.control.ControlMessage.$Properties
             * @deprecated Use vanillarock.control.ControlMessage.$Properties instead.
             */

            /**
             * Narrowed shape of a ControlMessage.
             * @typedef {{
             *   from?: vanillarock.control.Word.$Shape|null;
             *   hello?: vanillarock.control.Hello.$Shape|null;
             *   index?: vanillarock.control.Index.$Shape|null;
             *   fetch?: vanillarock.control.Fetch.$Shape|null;
             *   documents?: vanillarock.control.Documents.$Shape|null;
             *   $unknowns?: Array.<Uint8Array>;
             * } & (
             *   ({ body?: undefined; hello?: null; index?: null; fetch?: null; documents?: null }|{ body?: "hello"; hello: vanillarock.control.Hello.$Shape; index?: null; fetch?: null; documents?: null }|{ body?: "index"; hello?: null; index: vanillarock.control.Index.$Shape; fetch?: null; documents?: null }|{ body?: "fetch"; hello?: null; index?: null; fetch: vanillarock.control.Fetch.$Shape; documents?: null }|{ body?: "documents"; hello?: null; index?: null; fetch?: null; documents: vanillarock.control.Documents.$Shape })
             * )} vanillarock.control.ControlMessage.$Shape
             */

            /**
             * Constructs a new ControlMessage.
             * @memberof vanillarock.control
             * @classdesc Represents a ControlMessage.
             * @constructor
             * @param {vanillarock.control.ControlMessage.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const ControlMessage = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * ControlMessage from.
             * @member {vanillarock.control.Word.$Properties|null|undefined} from
             * @memberof vanillarock.control.ControlMessage
             * @instance
             */
            ControlMessage.prototype.from = null;

            /**
             * ControlMessage hello.
             * @member {vanillarock.control.Hello.$Properties|null|undefined} hello
             * @memberof vanillarock.control.ControlMessage
             * @instance
             */
            ControlMessage.prototype.hello = null;

            /**
             * ControlMessage index.
             * @member {vanillarock.control.Index.$Properties|null|undefined} index
             * @memberof vanillarock.control.ControlMessage
             * @instance
             */
            ControlMessage.prototype.index = null;

            /**
             * ControlMessage fetch.
             * @member {vanillarock.control.Fetch.$Properties|null|undefined} fetch
             * @memberof vanillarock.control.ControlMessage
             * @instance
             */
            ControlMessage.prototype.fetch = null;

            /**
             * ControlMessage documents.
             * @member {vanillarock.control.Documents.$Properties|null|undefined} documents
             * @memberof vanillarock.control.ControlMessage
             * @instance
             */
            ControlMessage.prototype.documents = null;

            // OneOf field names bound to virtual getters and setters
            let $oneOfFields;

            /**
             * ControlMessage body.
             * @member {"hello"|"index"|"fetch"|"documents"|undefined} body
             * @memberof vanillarock.control.ControlMessage
             * @instance
             */
            $Object.defineProperty(ControlMessage.prototype, "body", {
                get: $util.oneOfGetter($oneOfFields = ["hello", "index", "fetch", "documents"]),
                set: $util.oneOfSetter($oneOfFields)
            });

            /**
             * Creates a new ControlMessage instance using the specified properties.
             * @function create
             * @memberof vanillarock.control.ControlMessage
             * @static
             * @param {vanillarock.control.ControlMessage.$Properties=} [properties] Properties to set
             * @returns {vanillarock.control.ControlMessage} ControlMessage instance
             * @type {{
             *   (properties: vanillarock.control.ControlMessage.$Shape): vanillarock.control.ControlMessage & vanillarock.control.ControlMessage.$Shape;
             *   (properties?: vanillarock.control.ControlMessage.$Properties): vanillarock.control.ControlMessage;
             * }}
             */
            ControlMessage.create = function(properties) {
                return new ControlMessage(properties);
            };

            /**
             * Encodes the specified ControlMessage message. Does not implicitly {@link vanillarock.control.ControlMessage.verify|verify} messages.
             * @function encode
             * @memberof vanillarock.control.ControlMessage
             * @static
             * @param {vanillarock.control.ControlMessage.$Properties} message ControlMessage message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ControlMessage.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.from != null && $Object.hasOwnProperty.call(message, "from"))
                    $root.vanillarock.control.Word.encode(message.from, writer.uint32(/* id 1, wireType 2 =*/10).fork(), _depth + 1).ldelim();
                if (message.hello != null && $Object.hasOwnProperty.call(message, "hello"))
                    $root.vanillarock.control.Hello.encode(message.hello, writer.uint32(/* id 2, wireType 2 =*/18).fork(), _depth + 1).ldelim();
                if (message.index != null && $Object.hasOwnProperty.call(message, "index"))
                    $root.vanillarock.control.Index.encode(message.index, writer.uint32(/* id 3, wireType 2 =*/26).fork(), _depth + 1).ldelim();
                if (message.fetch != null && $Object.hasOwnProperty.call(message, "fetch"))
                    $root.vanillarock.control.Fetch.encode(message.fetch, writer.uint32(/* id 4, wireType 2 =*/34).fork(), _depth + 1).ldelim();
                if (message.documents != null && $Object.hasOwnProperty.call(message, "documents"))
                    $root.vanillarock.control.Documents.encode(message.documents, writer.uint32(/* id 5, wireType 2 =*/42).fork(), _depth + 1).ldelim();
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes a ControlMessage message from the specified reader or buffer.
             * @function decode
             * @memberof vanillarock.control.ControlMessage
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {vanillarock.control.ControlMessage & vanillarock.control.ControlMessage.$Shape} ControlMessage
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ControlMessage.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message, value;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.vanillarock.control.ControlMessage();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    let wireType = tag & 7;
                    switch (tag >>>= 3) {
                    case 1: {
                            if (wireType !== 2)
                                break;
                            message.from = $root.vanillarock.control.Word.decode(reader, reader.size(), $undefined, _depth + 1, message.from);
                            continue;
                        }
                    case 2: {
                            if (wireType !== 2)
                                break;
                            message.hello = $root.vanillarock.control.Hello.decode(reader, reader.size(), $undefined, _depth + 1, message.hello);
                            message.body = "hello";
                            continue;
                        }
                    case 3: {
                            if (wireType !== 2)
                                break;
                            message.index = $root.vanillarock.control.Index.decode(reader, reader.size(), $undefined, _depth + 1, message.index);
                            message.body = "index";
                            continue;
                        }
                    case 4: {
                            if (wireType !== 2)
                                break;
                            message.fetch = $root.vanillarock.control.Fetch.decode(reader, reader.size(), $undefined, _depth + 1, message.fetch);
                            message.body = "fetch";
                            continue;
                        }
                    case 5: {
                            if (wireType !== 2)
                                break;
                            message.documents = $root.vanillarock.control.Documents.decode(reader, reader.size(), $undefined, _depth + 1, message.documents);
                            message.body = "documents";
                            continue;
                        }
                    }
                    reader.skipType(wireType, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Verifies a ControlMessage message.
             * @function verify
             * @memberof vanillarock.control.ControlMessage
             * @static
             * @param {Object.<string,*>} message Plain object to verify
             * @returns {string|null} `null` if valid, otherwise the reason why it is not
             */
            ControlMessage.verify = function (message, _depth) {
                if (typeof message !== "object" || message === null)
                    return "object expected";
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    return "max depth exceeded";
                let properties = {};
                if (message.from != null && $Object.hasOwnProperty.call(message, "from")) {
                    let error = $root.vanillarock.control.Word.verify(message.from, _depth + 1);
                    if (error)
                        return "from." + error;
                }
                if (message.hello != null && $Object.hasOwnProperty.call(message, "hello")) {
                    properties.body = 1;
                    {
                        let error = $root.vanillarock.control.Hello.verify(message.hello, _depth + 1);
                        if (error)
                            return "hello." + error;
                    }
                }
                if (message.index != null && $Object.hasOwnProperty.call(message, "index")) {
                    if (properties.body === 1)
                        return "body: multiple values";
                    properties.body = 1;
                    {
                        let error = $root.vanillarock.control.Index.verify(message.index, _depth + 1);
                        if (error)
                            return "index." + error;
                    }
                }
                if (message.fetch != null && $Object.hasOwnProperty.call(message, "fetch")) {
                    if (properties.body === 1)
                        return "body: multiple values";
                    properties.body = 1;
                    {
                        let error = $root.vanillarock.control.Fetch.verify(message.fetch, _depth + 1);
                        if (error)
                            return "fetch." + error;
                    }
                }
                if (message.documents != null && $Object.hasOwnProperty.call(message, "documents")) {
                    if (properties.body === 1)
                        return "body: multiple values";
                    properties.body = 1;
                    {
                        let error = $root.vanillarock.control.Documents.verify(message.documents, _depth + 1);
                        if (error)
                            return "documents." + error;
                    }
                }
                return null;
            };

            /**
             * Gets the type url for ControlMessage
             * @function getTypeUrl
             * @memberof vanillarock.control.ControlMessage
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            ControlMessage.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/vanillarock.control.ControlMessage";
            };

            return ControlMessage;
        })();

        control.Ack = (function() {

            /**
             * Properties of an Ack.
             * @typedef {Object} vanillarock.control.Ack.$Properties
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */

            /**
             * Properties of an Ack.
             * @memberof vanillarock.control
             * @interface IAck
             * @augments vanillarock.control.Ack.$Properties
             * @deprecated Use vanillarock.control.Ack.$Properties instead.
             */

            /**
             * Shape of an Ack.
             * @typedef {vanillarock.control.Ack.$Properties} vanillarock.control.Ack.$Shape
             */

            /**
             * Constructs a new Ack.
             * @memberof vanillarock.control
             * @classdesc Represents an Ack.
             * @constructor
             * @param {vanillarock.control.Ack.$Properties=} [properties] Properties to set
             * @property {Array.<Uint8Array>} [$unknowns] Unknown fields preserved while decoding when enabled
             */
            const Ack = function (properties) {
                if (properties)
                    for (let keys = $Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            };

            /**
             * Creates a new Ack instance using the specified properties.
             * @function create
             * @memberof vanillarock.control.Ack
             * @static
             * @param {vanillarock.control.Ack.$Properties=} [properties] Properties to set
             * @returns {vanillarock.control.Ack} Ack instance
             * @type {{
             *   (properties: vanillarock.control.Ack.$Shape): vanillarock.control.Ack & vanillarock.control.Ack.$Shape;
             *   (properties?: vanillarock.control.Ack.$Properties): vanillarock.control.Ack;
             * }}
             */
            Ack.create = function(properties) {
                return new Ack(properties);
            };

            /**
             * Encodes the specified Ack message. Does not implicitly {@link vanillarock.control.Ack.verify|verify} messages.
             * @function encode
             * @memberof vanillarock.control.Ack
             * @static
             * @param {vanillarock.control.Ack.$Properties} message Ack message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Ack.encode = function (message, writer, _depth) {
                if (!writer)
                    writer = $Writer.create();
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    throw $Error("max depth exceeded");
                if (message.$unknowns != null && $Object.hasOwnProperty.call(message, "$unknowns"))
                    for (let i = 0; i < message.$unknowns.length; ++i)
                        writer.raw(message.$unknowns[i]);
                return writer;
            };

            /**
             * Decodes an Ack message from the specified reader or buffer.
             * @function decode
             * @memberof vanillarock.control.Ack
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {vanillarock.control.Ack & vanillarock.control.Ack.$Shape} Ack
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Ack.decode = function (reader, length, _end, _depth, _target) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $Reader.recursionLimit)
                    throw $Error("max depth exceeded");
                let end, message;
                if (length === $undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw $RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = _target || new $root.vanillarock.control.Ack();
                while (reader.pos < end) {
                    let start = reader.pos;
                    let tag = reader.tag();
                    if (tag === _end) {
                        _end = $undefined;
                        break;
                    }
                    reader.skipType(tag & 7, _depth, tag);
                    if (!reader.discardUnknown) {
                        $util.makeProp(message, "$unknowns", false);
                        (message.$unknowns || (message.$unknowns = [])).push(reader.raw(start, reader.pos));
                    }
                }
                if (length !== $undefined) {
                    if (reader.pos !== end)
                        throw $RangeError("index out of range");
                    reader.len = length;
                }
                if (_end !== $undefined)
                    throw $Error("missing end group");
                return message;
            };

            /**
             * Verifies an Ack message.
             * @function verify
             * @memberof vanillarock.control.Ack
             * @static
             * @param {Object.<string,*>} message Plain object to verify
             * @returns {string|null} `null` if valid, otherwise the reason why it is not
             */
            Ack.verify = function (message, _depth) {
                if (typeof message !== "object" || message === null)
                    return "object expected";
                if (_depth === $undefined)
                    _depth = 0;
                if (_depth > $util.recursionLimit)
                    return "max depth exceeded";
                return null;
            };

            /**
             * Gets the type url for Ack
             * @function getTypeUrl
             * @memberof vanillarock.control.Ack
             * @static
             * @param {string} [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns {string} The type url
             */
            Ack.getTypeUrl = function(prefix) {
                if (prefix === $undefined)
                    prefix = "type.googleapis.com";
                return prefix + "/vanillarock.control.Ack";
            };

            return Ack;
        })();

        return control;
    })();

    return vanillarock;
})();

export {
  $root as default
};
