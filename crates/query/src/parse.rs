//! Parser of statements. A syntax error states its position and the expected input.

use std::fmt;

use winnow::{
    LocatingSlice, ModalResult, Parser as _,
    ascii::multispace0,
    combinator::{alt, delimited, eof, opt, preceded, separated, terminated},
    error::{ContextError, ErrMode, StrContext, StrContextValue},
    token::{take_till, take_while},
};

use crate::{
    statement::{Comparison, Condition, Direction, Order, Query, Statement, Subject},
    verb,
};

/// The text being parsed, with its position.
pub type Input<'a> = LocatingSlice<&'a str>;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 256;

/// A syntax error in a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The statement, with control characters replaced by spaces.
    pub statement: String,
    /// Byte offset of the error in the statement.
    pub offset: usize,
    /// Descriptions of the input that the parser accepts there; may be empty.
    pub expected: Vec<String>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let column = self.statement[..self.offset].chars().count();
        writeln!(f, "{}", self.statement)?;
        writeln!(f, "{}^", " ".repeat(column))?;
        if self.expected.is_empty() {
            return write!(f, "cannot be parsed from here on; try `help`");
        }
        write!(f, "expected {} here; try `help`", self.expected.join(" or "))
    }
}

impl std::error::Error for Error {}

/// Parses one statement.
///
/// # Errors
///
/// [`Error`] if the text is not a valid statement.
pub fn statement(text: &str) -> Result<Statement, Error> {
    // A line break would shift the error marker that `Error` prints below the statement.
    let text: String = text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    let mut parser = terminated(verb::statement, (multispace0, opt(";"), multispace0, end));
    parser.parse(LocatingSlice::new(text.as_str())).map_err(|error| {
        let expected = error.inner().context().filter_map(|context| match context {
            StrContext::Expected(value) => Some(value.to_string()),
            _ => None,
        });
        let expected = expected.collect();
        let offset = (0..=error.offset()).rev().find(|at| text.is_char_boundary(*at));
        Error { offset: offset.unwrap_or(0), expected, statement: text.clone() }
    })
}

/// Returns a parser for a keyword; letter case is ignored.
pub fn keyword<'a>(word: &'static str) -> impl FnMut(&mut Input<'a>) -> ModalResult<()> {
    move |input: &mut Input<'a>| {
        preceded(multispace0, bare_word.verify(|found: &str| found.eq_ignore_ascii_case(word)))
            .void()
            .context(StrContext::Expected(StrContextValue::StringLiteral(word)))
            .parse_next(input)
    }
}

/// Parses a name, bare or in double quotes.
pub fn name(input: &mut Input<'_>) -> ModalResult<String> {
    let quoted = delimited('"', take_till(1.., '"'), '"');
    preceded(multispace0, alt((quoted, bare_word)))
        .verify(|name: &str| name.len() <= MAX_NAME_BYTES)
        .map(str::to_owned)
        .context(StrContext::Expected(StrContextValue::Description("a name")))
        .parse_next(input)
}

/// Parses a decimal integer without a sign.
pub fn number<T: std::str::FromStr>(input: &mut Input<'_>) -> ModalResult<T> {
    preceded(multispace0, take_while(1.., '0'..='9'))
        .verify_map(|digits: &str| digits.parse().ok())
        .context(StrContext::Expected(StrContextValue::Description("a whole number")))
        .parse_next(input)
}

/// Parses what follows the verb `show`.
pub fn query(input: &mut Input<'_>) -> ModalResult<Query> {
    let subject = subject(input)?;
    let mut conditions = opt(preceded(keyword("where"), separated(1.., condition, keyword("and"))));
    let conditions = conditions.parse_next(input)?.unwrap_or_default();
    let order = opt(preceded((keyword("order"), keyword("by")), order)).parse_next(input)?;
    let limit = opt(preceded(keyword("limit"), number)).parse_next(input)?;
    Ok(Query { subject, conditions, order, limit })
}

fn subject(input: &mut Input<'_>) -> ModalResult<Subject> {
    preceded(multispace0, bare_word)
        .verify_map(|word: &str| {
            let word = word.to_ascii_lowercase();
            Subject::ALL.iter().find(|(name, _)| *name == word).map(|(_, subject)| *subject)
        })
        .context(StrContext::Expected(StrContextValue::Description(
            "accounts, keys, adapters, routes, instances, servers, slots, queues, holders, \
             configuration",
        )))
        .parse_next(input)
}

fn condition(input: &mut Input<'_>) -> ModalResult<Condition> {
    let (column, comparison, value) = (name, comparison, name).parse_next(input)?;
    Ok(Condition { column, comparison, value })
}

fn comparison(input: &mut Input<'_>) -> ModalResult<Comparison> {
    preceded(
        multispace0,
        alt((
            "<=".value(Comparison::LessOrEqual),
            ">=".value(Comparison::GreaterOrEqual),
            "!=".value(Comparison::NotEqual),
            "=".value(Comparison::Equal),
            "<".value(Comparison::Less),
            ">".value(Comparison::Greater),
            "~".value(Comparison::Contains),
        )),
    )
    .context(StrContext::Expected(StrContextValue::Description("=, !=, <, <=, >, >= or ~")))
    .parse_next(input)
}

fn order(input: &mut Input<'_>) -> ModalResult<Order> {
    let column = name.parse_next(input)?;
    let descending = opt(keyword("desc")).parse_next(input)?;
    let direction = descending.map_or(Direction::Ascending, |()| Direction::Descending);
    Ok(Order { column, direction })
}

fn bare_word<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    let is_word = |c: char| c.is_alphanumeric() || "-_.@/:()".contains(c);
    take_while(1.., is_word).parse_next(input)
}

fn end(input: &mut Input<'_>) -> ModalResult<()> {
    eof.void()
        .context(StrContext::Expected(StrContextValue::Description("the end of the statement")))
        .parse_next(input)
}

/// Makes a failure final, so that the parser tries no other alternative.
pub fn cut<T>(result: ModalResult<T>) -> ModalResult<T> {
    result.map_err(ErrMode::<ContextError>::cut)
}
